package roster_test

import (
	"strings"
	"testing"
	"time"

	"hornbeamtray/core/roster"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func target(id string, revision uint64, leaving bool) roster.Target {
	return roster.Target{ID: id, Service: "s", Domain: "d", Slots: 4, Leaving: leaving, Revision: revision}
}

// process returns a target with an address and the start time of its process.
func process(id, address string, started int64, revision uint64) roster.Target {
	t := target(id, revision, false)
	t.Address, t.StartUnixMilli = address, started
	return t
}

func servingIDs(r roster.Roster, now time.Time) string {
	var ids []string
	for _, t := range r.Serving("s", now) {
		ids = append(ids, t.ID)
	}
	return strings.Join(ids, " ")
}

func TestServing(t *testing.T) {
	tests := []struct {
		name  string
		build func(roster.Roster) roster.Roster
		now   int // ms after start
		want  string
	}{
		{"listed", func(r roster.Roster) roster.Roster { return r }, 0, "a b"},
		{"leaving", func(r roster.Roster) roster.Roster { return r.WithTarget(target("a", 3, true)) }, 0, "b"},
		{"an older listing changes nothing", func(r roster.Roster) roster.Roster {
			return r.WithTarget(target("a", 5, true)).WithTarget(target("a", 4, false))
		}, 0, "b"},
		{"removed", func(r roster.Roster) roster.Roster { return r.WithRemoved("a", 3, at(0)) }, 0, "b"},
		{"a listing from before the removal changes nothing", func(r roster.Roster) roster.Roster {
			return r.WithRemoved("a", 3, at(0)).WithTarget(target("a", 2, false))
		}, 0, "b"},
		{"listed again after the removal", func(r roster.Roster) roster.Roster {
			return r.WithRemoved("a", 3, at(0)).WithTarget(target("a", 4, false))
		}, 0, "a b"},
		{"evacuated", func(r roster.Roster) roster.Roster { return r.WithEvacuated("d", true, 3) }, 0, ""},
		{"taken back", func(r roster.Roster) roster.Roster { return r.WithEvacuated("d", true, 3).WithEvacuated("d", false, 4) }, 0, "a b"},
		{"a late evacuation changes nothing", func(r roster.Roster) roster.Roster { return r.WithEvacuated("d", false, 4).WithEvacuated("d", true, 3) }, 0, "a b"},
		{"removed while the store is away", func(r roster.Roster) roster.Roster {
			return r.WithStoreLost(at(-900), at(-100)).WithRemoved("a", 3, at(0))
		}, 60_000, "a b"},
		{"lapsed, soon after the return", func(r roster.Roster) roster.Roster {
			return r.WithStoreLost(at(-900), at(-100)).WithStoreRegained(at(0)).WithRemoved("a", 3, at(100))
		}, 2200, "a b"},
		{"lapsed, missing for too long", func(r roster.Roster) roster.Roster {
			return r.WithStoreLost(at(-900), at(-100)).WithStoreRegained(at(0)).WithRemoved("a", 3, at(100))
		}, 2400, "b"},
		{"lapsed and back", func(r roster.Roster) roster.Roster {
			return r.WithStoreLost(at(-900), at(-100)).WithStoreRegained(at(0)).WithRemoved("a", 3, at(100)).WithTarget(target("a", 4, false))
		}, 2400, "a b"},
		{"removed long after the return", func(r roster.Roster) roster.Roster {
			return r.WithStoreLost(at(-900), at(-100)).WithStoreRegained(at(0)).WithRemoved("a", 3, at(5000))
		}, 5000, "b"},
		{"lapsed in an outage that others saw", func(r roster.Roster) roster.Roster {
			return r.WithOthersOutage(at(0)).WithRemoved("a", 3, at(100))
		}, 2200, "a b"},
		{"missing for too long after an outage that others saw", func(r roster.Roster) roster.Roster {
			return r.WithOthersOutage(at(0)).WithRemoved("a", 3, at(100))
		}, 2400, "b"},
		{"an older outage that others saw changes nothing", func(r roster.Roster) roster.Roster {
			return r.WithStoreLost(at(-900), at(-100)).WithStoreRegained(at(0)).WithOthersOutage(at(-9000)).WithRemoved("a", 3, at(100))
		}, 2200, "a b"},
		{"removed while reads fail that succeed elsewhere", func(r roster.Roster) roster.Roster {
			return r.WithStoreLost(at(-900), at(-100)).WithRemoved("a", 3, at(0)).WithStoreRead(at(-1000), at(-800), at(0))
		}, 0, "b"},
		{"removed after reads failed that succeeded elsewhere", func(r roster.Roster) roster.Roster {
			return r.WithStoreLost(at(-900), at(-100)).WithStoreRegained(at(0)).WithStoreRead(at(-500), at(-400), at(0)).WithRemoved("a", 3, at(100))
		}, 100, "b"},
		{"it becomes known later", func(r roster.Roster) roster.Roster {
			return r.WithStoreLost(at(-900), at(-100)).WithStoreRegained(at(0)).WithRemoved("a", 3, at(100)).WithStoreRead(at(-200), at(300), at(400))
		}, 400, "b"},
		{"others read the store before and after", func(r roster.Roster) roster.Roster {
			return r.WithStoreLost(at(-900), at(-100)).WithStoreRegained(at(0)).WithStoreRead(at(-1500), at(-950), at(0)).WithStoreRead(at(-50), at(0), at(0)).WithRemoved("a", 3, at(100))
		}, 2200, "a b"},
		{"an outage after reads that succeeded elsewhere", func(r roster.Roster) roster.Roster {
			return r.WithStoreLost(at(-900), at(-800)).WithStoreRead(at(-870), at(-850), at(0)).WithStoreLost(at(-900), at(-100)).WithRemoved("a", 3, at(0))
		}, 60_000, "a b"},
		{"reads that fail at one instance start no grace period anew", func(r roster.Roster) roster.Roster {
			return r.WithStoreLost(at(-900), at(-100)).WithStoreRegained(at(0)).WithRemoved("a", 3, at(0)).
				WithStoreLost(at(1000), at(1200)).WithStoreRegained(at(1300)).WithStoreRead(at(900), at(1100), at(1500))
		}, 2400, "b"},
		{"a second outage starts it anew", func(r roster.Roster) roster.Roster {
			return r.WithStoreLost(at(-900), at(-100)).WithStoreRegained(at(0)).WithRemoved("a", 3, at(0)).WithStoreLost(at(1000), at(1200)).WithStoreRegained(at(1300))
		}, 3500, "a b"},
		{"an outage that others saw and then contradicted", func(r roster.Roster) roster.Roster {
			return r.WithOthersOutage(at(0)).WithRemoved("a", 3, at(100)).WithOthersOutage(time.Time{})
		}, 200, "b"},
		{"missing in a whole listing", func(r roster.Roster) roster.Roster {
			return r.WithFullListing(map[string]bool{"b": true}, 9, at(0))
		}, 0, "b"},
		{"another process started at its address", func(r roster.Roster) roster.Roster {
			return r.WithTarget(process("c", "1.1.1.1:1", 10, 3)).WithTarget(process("d", "1.1.1.1:1", 20, 4))
		}, 0, "a b d"},
		{"the entries of two processes at an address arrive in reverse", func(r roster.Roster) roster.Roster {
			return r.WithTarget(process("d", "1.1.1.1:1", 20, 4)).WithTarget(process("c", "1.1.1.1:1", 10, 3))
		}, 0, "a b d"},
		{"a late entry of the process that crashed", func(r roster.Roster) roster.Roster {
			return r.WithTarget(process("d", "1.1.1.1:1", 20, 4)).WithTarget(process("c", "1.1.1.1:1", 10, 5))
		}, 0, "a b d"},
		{"start times unknown", func(r roster.Roster) roster.Roster {
			return r.WithTarget(process("c", "1.1.1.1:1", 0, 3)).WithTarget(process("d", "1.1.1.1:1", 0, 4))
		}, 0, "a b d"},
		{"the later process of an address is removed", func(r roster.Roster) roster.Roster {
			return r.WithTarget(process("c", "1.1.1.1:1", 10, 3)).WithTarget(process("d", "1.1.1.1:1", 20, 4)).WithRemoved("d", 5, at(0))
		}, 0, "a b c"},
		{"a process of another service started at its address", func(r roster.Roster) roster.Roster {
			other := process("d", "1.1.1.1:1", 20, 4)
			other.Service = "other"
			return r.WithTarget(process("c", "1.1.1.1:1", 10, 3)).WithTarget(other)
		}, 0, "a b"},
		{"it moved to another address", func(r roster.Roster) roster.Roster {
			return r.WithTarget(process("c", "1.1.1.1:1", 10, 3)).WithTarget(process("d", "1.1.1.1:1", 20, 4)).WithTarget(process("d", "1.1.1.2:1", 30, 5))
		}, 0, "a b c d"},
		{"newer than the whole listing", func(r roster.Roster) roster.Roster {
			return r.WithTarget(target("a", 12, false)).WithFullListing(map[string]bool{"b": true}, 9, at(0))
		}, 0, "a b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New().WithTarget(target("a", 1, false)).WithTarget(target("b", 2, false))
			if got := servingIDs(tt.build(r), at(tt.now)); got != tt.want {
				t.Errorf("serving targets = %q, want %q", got, tt.want)
			}
		})
	}
}

func TestSwept(t *testing.T) {
	r := roster.New().WithTarget(target("a", 1, false)).WithStoreLost(at(-900), at(-100)).WithStoreRegained(at(0)).WithRemoved("a", 3, at(0))
	if got := len(r.Swept(at(2000)).Targets()); got != 1 {
		t.Errorf("%d targets during the grace period, want 1", got)
	}
	if got := len(r.Swept(at(3000)).Targets()); got != 0 {
		t.Errorf("%d targets after the grace period, want 0", got)
	}
}
