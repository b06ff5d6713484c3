package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
)

// listed returns the state after a complete listing of targets.
func listed(s dispatch.State, revision uint64, ms int, targets ...roster.Target) dispatch.State {
	return s.WithUpdate(dispatch.Update{Targets: targets, Complete: true, Revision: revision, ReadAt: at(ms)}, at(ms))
}

// process returns the listed process of a target.
func process(id string, started int64, revision uint64) roster.Target {
	return roster.Target{ID: id, Service: "s", Domain: "d1", Slots: 2, Address: "10.0.0.1:" + fmt.Sprint(len(id)) + fmt.Sprint(id[0]), StartUnixMilli: started, Revision: revision}
}

// takers returns the targets that get a request at a time, each tried alone.
func takers(s dispatch.State, ms int, ids ...string) []string {
	var list []string
	for _, id := range ids {
		others := slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
		if _, chosen, refused := s.Choose(dispatch.Admission{Service: "s", Deadline: at(ms + 1000)}, others, lowestRandom{}, at(ms)); refused == nil {
			list = append(list, chosen.ID)
		}
	}
	return list
}

// TestLeaving checks how long a target that said in an answer that it leaves gets no work.
func TestLeaving(t *testing.T) {
	a, b := process("a", 100, 1), process("b", 100, 2)
	both := listed(dispatch.New("g", "d1", bounds), 2, 0, a, b)
	left := both.WithLeaving(a, at(100))
	restarted := a
	restarted.StartUnixMilli, restarted.Revision = 200, 9
	again := a
	again.Revision = 9
	tests := []struct {
		name  string
		state dispatch.State
		ms    int
		want  []string
	}{
		{"nothing said", both, 200, []string{"a", "b"}},
		{"at once", left, 100, []string{"b"}},
		{"the store is silent", left, 200_000, []string{"b"}},
		{"the platform lists it as ready", listed(left, 3, 30_000, a, b), 30_000, []string{"b"}},
		{"the platform lists it as ready for a minute more", listed(left, 3, 61_000, a, b), 61_000, []string{"a", "b"}},
		{"its entry was removed and returned", listed(listed(listed(left, 3, 2000, b), 4, 8000, b), 9, 9000, again, b), 9000, []string{"b"}},
		{"another process has its ID", listed(left, 9, 9000, restarted, b), 9000, []string{"a", "b"}},
		{"a late answer of the process before", listed(both, 9, 9000, restarted, b).WithLeaving(a, at(9100)), 9200, []string{"a", "b"}},
		{"a late answer of the process before, and one of the present", listed(both, 9, 9000, restarted, b).WithLeaving(restarted, at(9050)).WithPause(a, time.Second, at(9100)), 9200, []string{"b"}},
		{"all said so", left.WithLeaving(b, at(100)), 200, nil},
		{"all said so, and are listed as ready", listed(left.WithLeaving(b, at(100)), 3, 6000, a, b), 6000, []string{"a", "b"}},
		{"a peer told", both.WithDepartures(left.Departures(at(200)), at(200)), 300, []string{"b"}},
		{"a peer told of the process before", listed(both, 9, 9000, restarted, b).WithDepartures(left.Departures(at(9000)), at(9000)), 9100, []string{"a", "b"}},
		{"a peer told late", listed(both, 9, 90_000, a, b).WithDepartures(left.Departures(at(200)), at(90_000)), 90_000, []string{"a", "b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := takers(tt.state, tt.ms, "a", "b"); !slices.Equal(got, tt.want) {
				t.Errorf("targets that get a request: %q, want %q", got, tt.want)
			}
		})
	}
}

// TestPause checks when a target that asked for a pause gets requests.
func TestPause(t *testing.T) {
	a, b := process("a", 100, 1), process("b", 100, 2)
	both := listed(dispatch.New("g", "d1", bounds), 2, 0, a, b)
	paused := both.WithPause(a, 2*time.Second, at(100))
	tried, _, _ := paused.Choose(dispatch.Admission{Service: "s", Deadline: at(9000)}, []string{"b"}, lowestRandom{}, at(2100))
	restarted := a
	restarted.StartUnixMilli, restarted.Revision = 200, 9
	tests := []struct {
		name  string
		state dispatch.State
		ms    int
		want  []string
	}{
		{"at once", paused, 100, []string{"b"}},
		{"shortly before its end", paused, 2099, []string{"b"}},
		{"at its end", paused, 2100, []string{"a", "b"}},
		{"beside the first request after it", tried, 2200, []string{"b"}},
		{"no answer to the first request after it", tried, 4100, []string{"a", "b"}},
		{"after an answer", tried.WithPauseOver(a, at(2200)), 2200, []string{"a", "b"}},
		{"an answer to an earlier request", paused.WithPauseOver(a, at(200)), 300, []string{"b"}},
		{"a shorter pause later", paused.WithPause(a, time.Millisecond, at(200)), 1000, []string{"b"}},
		{"a longer pause later", paused.WithPause(a, 3*time.Second, at(200)), 2500, []string{"b"}},
		{"a pause without end", both.WithPause(a, 1<<62, at(100)), 300_100, []string{"a", "b"}},
		{"another process has its ID", listed(paused, 9, 500, restarted, b), 500, []string{"a", "b"}},
		{"its entry was removed and returned", listed(listed(listed(paused.WithPause(a, 20*time.Second, at(100)), 3, 300, b), 4, 8000, b), 9, 9000, process("a", 100, 9), b), 9000, []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := takers(tt.state, tt.ms, "a", "b"); !slices.Equal(got, tt.want) {
				t.Errorf("targets that get a request: %q, want %q", got, tt.want)
			}
		})
	}
	all := paused.WithPause(b, time.Second, at(100))
	a9 := dispatch.Admission{Service: "s", Deadline: at(9000)}
	if _, _, refused := all.Choose(a9, nil, lowestRandom{}, at(200)); refused == nil {
		t.Error("a request gets a target while all are paused")
	}
	if r := all.Busy(a9, 0, at(200)); r.RetryAfter != 900*time.Millisecond {
		t.Errorf("refusal while all targets are paused is %v after %s, want one to retry after 900 ms", r, r.RetryAfter)
	}
}

// TestStatementHistories plays random histories of two targets whose answers overtake
// each other, whose processes restart, and whose entries come and go, and of peers'
// reports and clock steps of the store's reads. A process that said that it leaves gets
// no request unless the platform lists it as ready long after; one that asked for a
// pause gets none until its end, and then one at a time until it answers.
func TestStatementHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, revision := 0, uint64(2)
		targets := map[string]roster.Target{"a": process("a", 100, 1), "b": process("b", 100, 2)}
		s := listed(dispatch.New("g", "d1", bounds), 2, 0, targets["a"], targets["b"])
		peer := s
		leftAt, pausedUntil, triedAt := map[string]int{}, map[string]int{}, map[string]int{}
		synced := 0
		key := func(r roster.Target) string { return fmt.Sprint(r.ID, r.StartUnixMilli) }
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.IntRange(0, 3000).Draw(t, "pause")
			r := targets[rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target")]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				s = s.WithLeaving(r, at(now))
				leftAt[key(r)] = now
			case 1:
				d := rapid.IntRange(1, 5000).Draw(t, "length")
				s = s.WithPause(r, time.Duration(d)*time.Millisecond, at(now))
				pausedUntil[key(r)] = max(pausedUntil[key(r)], now+d)
				delete(triedAt, key(r))
			case 2:
				s = s.WithPauseOver(r, at(now))
				if now >= pausedUntil[key(r)] {
					delete(pausedUntil, key(r))
					delete(triedAt, key(r))
				}
			case 3: // a restart under the same ID
				revision++
				r.StartUnixMilli, r.Revision = r.StartUnixMilli+100, revision
				targets[r.ID] = r
				s = s.WithUpdate(dispatch.Update{Targets: []roster.Target{r}, Revision: revision, ReadAt: at(now)}, at(now))
				synced = now
			case 4: // the entry goes and returns
				revision += 2
				s = s.WithUpdate(dispatch.Update{Removals: []dispatch.Removal{{Target: r.ID, Revision: revision - 1}}, Revision: revision - 1, ReadAt: at(now)}, at(now))
				r.Revision = revision
				targets[r.ID] = r
				s = s.WithUpdate(dispatch.Update{Targets: []roster.Target{r}, Revision: revision, ReadAt: at(now)}, at(now))
				synced = now
			case 5:
				peer = peer.WithDepartures(s.Departures(at(now)), at(now))
				s = s.WithDepartures(peer.Departures(at(now)), at(now))
			case 6:
				s = s.WithSync(at(now))
				synced = now
			case 7:
				after, chosen, refused := s.Choose(dispatch.Admission{Service: "s", Deadline: at(now + 1000)}, nil, lowestRandom{}, at(now))
				if refused != nil {
					continue
				}
				s = after.WithAttempt(chosen.ID, false, at(now))
				k := key(chosen)
				if left, said := leftAt[k]; said && synced-left <= 5000 {
					t.Fatalf("%s got a request %d ms after it said that it leaves; the store was last read %d ms after", k, now-left, synced-left)
				}
				if until, paused := pausedUntil[k]; paused {
					if now < until {
						t.Fatalf("%s got a request %d ms before its pause ends", k, until-now)
					}
					if tried, found := triedAt[k]; found && now-tried < 2000 {
						t.Fatalf("%s got a second request %d ms after the first one after its pause", k, now-tried)
					}
					triedAt[k] = now
				}
			}
		}
	})
}

// BenchmarkChoose measures the choice of a target among many, of which a third are paused.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{20, 300, 1000} {
		for _, share := range []string{"none", "a third"} {
			b.Run(fmt.Sprint(count, " targets, ", share, " paused"), func(b *testing.B) {
				var list []roster.Target
				for n := range count {
					list = append(list, roster.Target{ID: fmt.Sprint("t", n), Service: "s", Domain: "d1", Slots: 12, Address: fmt.Sprint("10.0.0.1:", n+1), StartUnixMilli: 1, Revision: uint64(n + 1)})
				}
				s := listed(dispatch.New("g", "d1", bounds), uint64(count), 0, list...)
				for n := 0; share != "none" && n < count; n += 3 {
					s = s.WithPause(list[n], time.Hour, at(0))
				}
				b.ReportAllocs()
				for b.Loop() {
					if _, _, refused := s.Choose(dispatch.Admission{Service: "s"}, nil, lowestRandom{}, at(1)); refused != nil {
						b.Fatal(refused)
					}
				}
			})
		}
	}
}

// TestRepeatedDepartures checks that gateways that repeat to each other that a target
// leaves, each time a little later, don't keep it from work for longer than one does.
func TestRepeatedDepartures(t *testing.T) {
	a, b := process("a", 100, 1), process("b", 100, 2)
	first := listed(dispatch.New("g", "d1", bounds), 2, 0, a, b).WithLeaving(a, at(0))
	second := listed(dispatch.New("h", "d1", bounds), 2, 0, a, b)
	delayed := func(departures []dispatch.Departure) []dispatch.Departure {
		for i := range departures {
			departures[i].At = departures[i].At.Add(5 * time.Millisecond)
		}
		return departures
	}
	for ms := 0; ms < 70_000; ms += 5 {
		first, second = first.WithSync(at(ms)), second.WithSync(at(ms))
		second = second.WithDepartures(delayed(first.Departures(at(ms))), at(ms))
		first = first.WithDepartures(delayed(second.Departures(at(ms))), at(ms))
	}
	if first.SaidLeaving(a) || second.SaidLeaving(a) {
		t.Errorf("the target is taken for leaving 70 s after it said so: %t and %t, want neither", first.SaidLeaving(a), second.SaidLeaving(a))
	}
}
