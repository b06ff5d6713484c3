package roster_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamtray/core/roster"
)

// in returns a revision of the store's second era, which begins at 0 ms.
func in(number uint64) uint64 { return roster.Revision(2, number) }

// TestAfterStoreWentBack checks which targets get work after the store came back from an
// older copy. Before the return, a and b were ready, c was leaving, d was removed, and e had
// moved to another address; the copy has all of them as they were before.
func TestAfterStoreWentBack(t *testing.T) {
	first := func(id, address string, number uint64, leaving bool) roster.Target {
		t := process(id, address, 100, roster.Revision(1, number))
		t.Leaving = leaving
		return t
	}
	copied := func(id, address string, number uint64) roster.Target {
		t := process(id, address, 100, in(number))
		return t
	}
	whole := func(r roster.Roster, ms int) roster.Roster {
		for _, t := range []roster.Target{copied("a", "1.1.1.1:1", 1), copied("b", "1.1.1.1:2", 2), copied("c", "1.1.1.1:3", 3), copied("d", "1.1.1.1:4", 4), copied("e", "1.1.1.1:5", 5)} {
			r = r.WithTarget(t)
		}
		return r.WithFullListing(map[string]bool{"a": true, "b": true, "c": true, "d": true, "e": true}, in(9), at(ms))
	}
	tests := []struct {
		name  string
		build func(roster.Roster) roster.Roster
		now   int
		want  string
	}{
		{"before the listing", func(r roster.Roster) roster.Roster { return r }, 0, "a b e f"},
		{"listed", func(r roster.Roster) roster.Roster { return whole(r, 0) }, 10, "a b e f"},
		{"what the copy lacks was not written again", func(r roster.Roster) roster.Roster { return whole(r, 0) }, 2400, "a b e"},
		{"what the copy lacks was written again", func(r roster.Roster) roster.Roster {
			return whole(r, 0).WithTarget(copied("f", "1.1.1.1:6", 10))
		}, 2400, "a b e f"},
		{"written again with a number given out before", func(r roster.Roster) roster.Roster {
			return whole(r, 0).WithTarget(copied("c", "1.1.1.1:3", 6)).WithTarget(copied("d", "1.1.1.1:4", 7))
		}, 10, "a b c d e f"},
		{"it stands for long", func(r roster.Roster) roster.Roster { return whole(r, 0) }, 5100, "a b c d e"},
		{"it stands for long, but the store is lost", func(r roster.Roster) roster.Roster { return whole(r, 0).WithStoreLost(at(0), at(0)) }, 5100, "a b e f"},
		{"what left in between expires", func(r roster.Roster) roster.Roster {
			return whole(r, 0).WithRemoved("c", in(10), at(3600)).WithRemoved("d", in(11), at(3600))
		}, 5100, "a b e"},
		{"the copy says that a target leaves", func(r roster.Roster) roster.Roster {
			t := copied("e", "1.1.1.1:5", 5)
			t.Leaving = true
			return r.WithTarget(t)
		}, 10, "a b f"},
		{"another process since", func(r roster.Roster) roster.Roster {
			t := copied("c", "1.1.1.1:3", 3)
			t.StartUnixMilli = 200
			return r.WithTarget(t)
		}, 10, "a b c e f"},
		{"news of the era before changes nothing", func(r roster.Roster) roster.Roster {
			return whole(r, 0).WithRemoved("a", roster.Revision(1, 30), at(10)).WithTarget(first("b", "1.1.1.1:2", 31, true))
		}, 20, "a b e f"},
		{"twice", func(r roster.Roster) roster.Roster {
			r = whole(r, 0).WithEra(3, at(1000)).WithTarget(process("c", "1.1.1.1:3", 100, roster.Revision(3, 3)))
			return r.WithTarget(process("d", "1.1.1.1:4", 100, roster.Revision(3, 4)))
		}, 5100, "a b e"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New().WithEra(1, at(-60_000))
			for _, known := range []roster.Target{first("a", "1.1.1.1:1", 1, false), first("b", "1.1.1.1:2", 2, false), first("c", "1.1.1.1:3", 20, true), first("d", "1.1.1.1:4", 4, false), first("e", "1.1.1.2:5", 22, false), first("f", "1.1.1.1:6", 23, false)} {
				r = r.WithTarget(known)
			}
			r = r.WithRemoved("d", roster.Revision(1, 21), at(-9000)).WithEra(2, at(0))
			r = tt.build(r).Swept(at(tt.now))
			if got := servingIDs(r, at(tt.now)); got != tt.want {
				t.Errorf("serving targets = %q, want %q", got, tt.want)
			}
		})
	}
}

// TestMovedTargetAfterStoreWentBack checks that a target that moved to another address is not
// sought at the one that the copy has.
func TestMovedTargetAfterStoreWentBack(t *testing.T) {
	r := roster.New().WithEra(1, at(-9000)).WithTarget(process("a", "1.1.1.2:1", 100, roster.Revision(1, 20))).WithEra(2, at(0))
	r = r.WithTarget(process("a", "1.1.1.1:1", 100, in(5)))
	if got, _ := r.Swept(at(100)).Target("a"); got.Address != "1.1.1.2:1" {
		t.Errorf("address is %s, want the one known before", got.Address)
	}
	if got, _ := r.Swept(at(5100)).Target("a"); got.Address != "1.1.1.1:1" {
		t.Errorf("address is %s, want that of the store, which stands for long", got.Address)
	}
}

// TestEvacuationsAfterStoreWentBack checks when a domain counts as evacuated after the
// store came back from an older copy.
func TestEvacuationsAfterStoreWentBack(t *testing.T) {
	begun := func(r roster.Roster) roster.Roster { return r.WithEvacuated("d", true, roster.Revision(1, 20)) }
	ended := func(r roster.Roster) roster.Roster {
		return r.WithEvacuated("d", true, roster.Revision(1, 5)).WithEvacuated("d", false, roster.Revision(1, 20))
	}
	lacks := func(r roster.Roster) roster.Roster { return r.WithFullEvacuations(nil, in(9)) }
	has := func(r roster.Roster) roster.Roster {
		return r.WithEvacuated("d", true, in(5)).WithFullEvacuations(map[string]bool{"d": true}, in(9))
	}
	tests := []struct {
		name   string
		before func(roster.Roster) roster.Roster
		after  func(roster.Roster) roster.Roster
		now    int
		want   bool
	}{
		{"begun in between, lost", begun, lacks, 100, true},
		{"begun in between, lost, listed again", begun, func(r roster.Roster) roster.Roster { return lacks(r).WithFullEvacuations(nil, in(12)) }, 9000, true},
		{"begun in between, never written again", begun, lacks, 15_100, false},
		{"begun in between, written again", begun, func(r roster.Roster) roster.Roster { return lacks(r).WithEvacuated("d", true, in(10)) }, 60_000, true},
		{"begun in between, then ended", begun, func(r roster.Roster) roster.Roster { return lacks(r).WithEvacuated("d", false, in(10)) }, 100, false},
		{"ended in between, back", ended, has, 100, false},
		{"ended in between, ended again", ended, func(r roster.Roster) roster.Roster { return has(r).WithEvacuated("d", false, in(10)) }, 9000, false},
		{"ended in between, stands for long", ended, has, 2600, true},
		{"ended in between, begun anew", ended, func(r roster.Roster) roster.Roster { return has(r).WithEvacuated("d", true, in(10)) }, 100, true},
		{"begun and ended in between", ended, lacks, 100, false},
		{"a peer reports the loss", begun, func(r roster.Roster) roster.Roster { return r.WithLostEvacuation("d", in(9)) }, 100, true},
		{"begun before the copy", func(r roster.Roster) roster.Roster { return r.WithEvacuated("d", true, roster.Revision(1, 5)) }, has, 100, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New().WithEra(1, at(-60_000)).WithTarget(target("a", roster.Revision(1, 1), false))
			r = tt.after(tt.before(r).WithEra(2, at(0))).Swept(at(tt.now))
			if got := r.Evacuated("d"); got != tt.want {
				t.Errorf("evacuated = %t, want %t", got, tt.want)
			}
		})
	}
}

// TestOrderOfHearing checks that a target's state after the store went back does not depend
// on the order in which its entries are heard, once each was heard and time has passed.
func TestOrderOfHearing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []roster.Target
		for era := range uint64(3) {
			for number := range uint64(rapid.IntRange(1, 4).Draw(t, "entries")) {
				entry := process("a", fmt.Sprintf("1.1.1.1:%d", rapid.IntRange(1, 3).Draw(t, "port")), 100, roster.Revision(era+1, number+1))
				entry.Leaving = rapid.Bool().Draw(t, "leaving")
				entries = append(entries, entry)
			}
		}
		newest := entries[len(entries)-1]
		r := roster.New()
		for i, entry := range rapid.Permutation(entries).Draw(t, "order") {
			now := at(i * int(rapid.IntRange(0, 900).Draw(t, "gap")))
			r = r.WithEra(roster.Era(entry.Revision), now).WithTarget(entry).Swept(now)
		}
		if got, _ := r.Swept(at(60_000 + int(5*time.Second/time.Millisecond))).Target("a"); got != newest {
			t.Fatalf("the target is %+v, want the newest entry %+v", got, newest)
		}
	})
}
