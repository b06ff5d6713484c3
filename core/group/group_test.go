package group

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1979")
	_ = flag.Set("rapid.checks", "20000")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
	os.Exit(m.Run())
}

// process is one process of a rank, either current or replaced by a newer one.
type process struct {
	State
	begun map[uint64]uint64 // number of steps begun, by group
}

// world simulates a group of ranks and a network that loses, duplicates and delays
// messages.
type world struct {
	ranks      []*process
	replaced   []*process // replaced processes, which may still resume
	inFlight   []Message
	processes  uint64 // number of processes started
	stepsAhead uint64
	maps       map[string]uint64 // map used, by group and step
	violation  string
}

func newWorld(n int, ahead uint64) *world {
	w := &world{stepsAhead: ahead, maps: map[string]uint64{}}
	for rank := range n {
		w.ranks = append(w.ranks, w.newProcess(rank, n, 7))
	}
	return w
}

// newProcess starts a process, whose clock may be behind that of the process it
// replaces.
func (w *world) newProcess(rank, n int, clock uint64) *process {
	w.processes++
	return &process{State: New(rank, n, Epoch(clock, w.processes), 1).WithStepsAhead(w.stepsAhead), begun: map[uint64]uint64{}}
}

func (w *world) send(messages []Message) { w.inFlight = append(w.inFlight, messages...) }

// deliver delivers message i to the current process of the receiving rank. With
// duplicate, the message also stays in flight.
func (w *world) deliver(i int, duplicate bool) {
	m := w.inFlight[i]
	if !duplicate {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	p := w.ranks[m.To]
	after, answers := p.Handle(m)
	p.State = after
	w.send(answers)
}

// begin begins a process's next step if all ranks have ended the step before, and
// reports whether it did.
func (w *world) begin(p *process) bool {
	if !p.Formed() || !w.ended(p.Group(), p.Step()) {
		return false
	}
	step := p.Step()
	after, v := p.Begin()
	p.State = after
	if !v.Run {
		return false
	}
	p.begun[p.Group()] = step + 1
	key := fmt.Sprintf("%d/%d", p.Group(), step)
	if earlier, found := w.maps[key]; found && earlier != v.Map {
		w.violation = fmt.Sprintf("step %s on maps %d and %d", key, earlier, v.Map)
	}
	if v.Map > p.Loaded() {
		w.violation = fmt.Sprintf("step %s on map %d, which is not loaded", key, v.Map)
	}
	w.maps[key] = v.Map
	return true
}

// ended reports whether all ranks of a group have ended all steps before the
// given one.
func (w *world) ended(group, step uint64) bool {
	for rank := range w.ranks {
		best := w.ranks[rank].begun[group]
		for _, z := range w.replaced {
			if z.rank == rank {
				best = max(best, z.begun[group])
			}
		}
		if best < step {
			return false
		}
	}
	return true
}

// action is one event of a history. Kind selects the event, Rank the rank that it
// concerns, and Pick the message or replaced process, or a process's clock.
type action struct{ Kind, Rank, Pick int }

func (w *world) apply(a action) {
	p := w.ranks[a.Rank%len(w.ranks)]
	switch a.Kind {
	case 0, 1, 2, 3, 4, 5, 6, 7:
		if len(w.inFlight) > 0 {
			w.deliver(a.Pick%len(w.inFlight), a.Kind == 0) // one delivery in eight leaves a duplicate
		}
	case 8:
		if len(w.inFlight) > 0 {
			w.inFlight = slices.Delete(w.inFlight, a.Pick%len(w.inFlight), a.Pick%len(w.inFlight)+1)
		}
	case 9:
		w.send(p.Tick())
	case 10, 11, 12:
		w.begin(p)
	case 13:
		p.State = p.WithLoaded(p.Current() + 1).Join()
	case 14:
		after, messages := p.Propose(p.Current() + 1)
		p.State = after
		w.send(messages)
	case 15:
		if a.Pick%4 == 0 {
			w.replaced = append(w.replaced, p)
			w.ranks[p.rank] = w.newProcess(p.rank, len(w.ranks), uint64(a.Pick%13))
		}
	case 16:
		if len(w.replaced) > 0 {
			z := w.replaced[a.Pick%len(w.replaced)]
			w.send(z.Tick())
			w.begin(z)
		}
	}
}

// settle delivers all messages and returns the number of rounds until all ranks
// stepped together with no proposal undecided, or -1 if they never did.
func (w *world) settle() int {
	const maxRounds = 40
	for round := range maxRounds {
		for _, p := range w.ranks {
			if agreed, known := p.AgreedMap(); known {
				p.State = p.WithLoaded(agreed).Join()
			}
			w.send(p.Tick())
		}
		for range 20_000 {
			if len(w.inFlight) == 0 {
				break
			}
			w.deliver(0, false)
		}
		if w.allStep() {
			return round
		}
	}
	return -1
}

// allStep reports whether all ranks are in one group, have no proposal undecided
// and can step together.
func (w *world) allStep() bool {
	for _, p := range w.ranks {
		if !p.Formed() || p.Group() != w.ranks[0].Group() || p.Undecided() {
			return false
		}
	}
	for range 2 * DefaultStepsAhead {
		for _, p := range w.ranks {
			if p.Step() <= w.ranks[0].Step() && !w.begin(p) && w.ended(p.Group(), p.Step()) {
				return false
			}
		}
	}
	return true
}

// TestOneMapInEveryStep plays random histories of lost, duplicated and delayed
// messages, killed processes, replaced processes that resume, concurrent
// proposals, and ranks that load late. No step may use two maps, and after each
// history the group must step again.
func TestOneMapInEveryStep(t *testing.T) {
	longest, steps, switches := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(rt, "ranks")
		actions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
			return action{
				Kind: rapid.IntRange(0, 16).Draw(t, "kind"),
				Rank: rapid.IntRange(0, 3).Draw(t, "rank"),
				Pick: rapid.IntRange(0, 999).Draw(t, "pick"),
			}
		}), 50, 300).Draw(rt, "acts")
		w := newWorld(n, uint64(rapid.IntRange(1, 4).Draw(rt, "ahead")))
		if rapid.Bool().Draw(rt, "formed") {
			w.settle()
		}
		for _, a := range actions {
			w.apply(a)
			if w.violation != "" {
				rt.Fatal(w.violation)
			}
		}
		rounds := w.settle()
		if rounds < 0 || w.violation != "" {
			rt.Fatalf("the group does not step after the network recovered; violation: %q", w.violation)
		}
		longest = max(longest, rounds)
		steps += len(w.maps)
		for _, version := range w.maps {
			if version > 1 {
				switches++
			}
		}
	})
	t.Logf("%d steps, %d of them after a switch; longest standstill after the network recovered: %d rounds", steps, switches, longest)
	if switches == 0 {
		t.Error("no history switched to another map")
	}
}

// TestSwitch makes one switch without faults: the proposal, the votes, the
// certification, and the first step on the new map.
func TestSwitch(t *testing.T) {
	w := newWorld(3, DefaultStepsAhead)
	w.settle()
	for _, p := range w.ranks {
		p.State = p.WithLoaded(2)
	}
	after, messages := w.ranks[0].Propose(2)
	w.ranks[0].State = after
	first := after.Step() + DefaultStepsAhead
	w.send(messages)
	for len(w.inFlight) > 0 {
		w.deliver(0, false)
	}
	for range 2 * DefaultStepsAhead {
		for _, p := range w.ranks {
			step := p.Step()
			if !w.begin(p) {
				t.Fatalf("rank %d may not begin step %d", p.rank, step)
			}
			want := uint64(1)
			if step >= first {
				want = 2
			}
			if got := w.maps[fmt.Sprintf("%d/%d", p.Group(), step)]; got != want {
				t.Fatalf("step %d on map %d, want %d", step, got, want)
			}
		}
	}
}
