package expert

import (
	"math"
	"math/rand/v2"
	"slices"
)

// search is a local search that improves a placement by changing one or two
// slots at a time.
type search struct {
	slots    int
	held     []int
	load     []float64
	speeds   []float64
	times    []float64 // time of each rank for one step
	holders  [][]int   // ranks that hold each expert, once per replica
	balanced float64   // time of a perfectly balanced step

	initial       [][]bool // by rank and expert: whether the rank held the expert at the start
	newCounts     []int    // number of experts in each rank that are new to it
	maxNewPerRank int      // maximum of newCounts
}

func newSearch(l Layer, load, speeds []float64, maxNewPerRank int) *search {
	load = append(slices.Clone(load), 0) // the last element is for unused slots
	s := &search{
		slots: l.slots, load: load, speeds: speeds, balanced: balancedTime(load, speeds),
		maxNewPerRank: maxNewPerRank, newCounts: make([]int, len(speeds)), initial: make([][]bool, len(speeds)),
	}
	for r := range s.initial {
		s.initial[r] = make([]bool, len(load))
		for _, e := range l.Held(r) {
			s.initial[r][e] = true
		}
	}
	s.reset(l)
	return s
}

// reset replaces the placement; initial stays as it is.
func (s *search) reset(l Layer) {
	s.held = slices.Clone(l.held)
	s.holders = make([][]int, len(s.load))
	for slot, e := range s.held {
		s.holders[e] = append(s.holders[e], slot/s.slots)
	}
	for r := range s.newCounts {
		s.newCounts[r] = 0
		for _, e := range l.Held(r) {
			s.newCounts[r] += s.newCount(r, e)
		}
	}
	s.times = l.Times(s.load, s.speeds)
}

// layer returns the placement.
func (s *search) layer() Layer {
	return Layer{slots: s.slots, held: slices.Clone(s.held)}
}

// share returns the load of each replica of an expert that has the given number of
// replicas.
func (s *search) share(expert, replicas int) float64 {
	return s.load[expert] / float64(replicas)
}

// change puts other experts into one or two slots.
type change struct {
	slot, expert   int
	slot2, expert2 int     // slot2 is -1 if only one slot changes
	maxTime        float64 // longest time, after the change, of the ranks whose time changes
}

// optimize improves a placement until its skew reaches the target or the given
// number of perturbations has been tried. It returns the best placement found and
// its skew. The seed of its random numbers depends only on the numbers of experts
// and ranks, so that the same input always gives the same plan.
func (s *search) optimize(from Layer, target float64, perturbations int) (Layer, float64) {
	random := rand.New(rand.NewPCG(uint64(len(s.load)), uint64(len(s.speeds))))
	best, bestSkew := from, from.Skew(s.load, s.speeds)
	s.reset(from)
	s.improve(target)
	current, excess := s.layer(), s.excess(target)
	for n := 0; ; n++ {
		if skew := current.Skew(s.load, s.speeds); skew < bestSkew {
			best, bestSkew = current, skew
		}
		if n == perturbations || bestSkew <= target {
			return best, bestSkew
		}
		s.reset(current)
		s.perturb(random)
		s.improve(target)
		if after := s.excess(target); after <= excess {
			current, excess = s.layer(), after
		}
	}
}

// excess returns the sum of the squares by which ranks exceed the target skew.
// Unlike the skew, it also decreases if only some of the slowest ranks get faster.
func (s *search) excess(target float64) float64 {
	total := 0.0
	for _, t := range s.times {
		over := max(0, t/s.balanced-target)
		total += over * over
	}
	return total
}

// improve applies the best change repeatedly until the skew reaches the target,
// no change helps, or the number of changes reaches its limit.
func (s *search) improve(target float64) {
	for range 4 * len(s.held) {
		slowest := s.slowest()
		if s.times[slowest] <= target*s.balanced {
			return
		}
		best, found := s.bestChange(slowest)
		if !found {
			return
		}
		s.apply(best)
	}
}

// perturb applies up to three random changes that involve an expert of the slowest
// rank, even if they make the placement worse.
func (s *search) perturb(random *rand.Rand) {
	for range 3 {
		slot := s.slowest()*s.slots + random.IntN(s.slots)
		other := random.IntN(len(s.held))
		for _, c := range []change{s.swapChange(slot, other), s.replicaChange(slot, other, math.Inf(1))} {
			if c != noChange {
				s.apply(c)
				break
			}
		}
	}
}

// slowest returns the rank with the longest time.
func (s *search) slowest() int {
	slowest := 0
	for r := range s.times {
		if s.times[r] > s.times[slowest] {
			slowest = r
		}
	}
	return slowest
}

// bestChange returns the change with the least maxTime among those that involve an
// expert of the slowest rank, and reports whether any has a maxTime below that
// rank's time. The factor 1 - 1e-9 excludes gains that are due to rounding.
func (s *search) bestChange(slowest int) (change, bool) {
	best := change{maxTime: s.times[slowest] * (1 - 1e-9)}
	found := false
	for k := range s.slots {
		slot := slowest*s.slots + k
		for other := range s.held {
			if c := s.replicaChange(slot, other, best.maxTime); c.maxTime < best.maxTime {
				best, found = c, true
			}
			if c := s.swapChange(slot, other); c.maxTime < best.maxTime {
				best, found = c, true
			}
		}
	}
	return best, found
}

// noChange is returned for a change that is not allowed or doesn't help.
var noChange = change{maxTime: math.Inf(1)}

// replicaChange returns the change that puts another replica of the expert in slot
// into the slot other, in place of its expert. It returns noChange if the change
// is not allowed, if the replaced expert has no further replica, or if maxTime
// would be at least the limit.
func (s *search) replicaChange(slot, other int, limit float64) change {
	x, y := s.held[slot], s.held[other]
	q := other / s.slots
	if !s.allows(q, y, x) || x == y || len(s.holders[y]) < 2 || slices.Contains(s.holders[x], q) {
		return noChange
	}
	replicasX, replicasY := len(s.holders[x]), len(s.holders[y])
	deltaX, deltaY := s.share(x, replicasX+1)-s.share(x, replicasX), s.share(y, replicasY-1)-s.share(y, replicasY)
	maxTime := s.times[q] + (s.share(x, replicasX+1)-s.share(y, replicasY))/s.speeds[q]
	if maxTime >= limit {
		return noChange
	}
	for _, r := range s.holders[x] {
		delta := deltaX
		if slices.Contains(s.holders[y], r) {
			delta += deltaY
		}
		maxTime = max(maxTime, s.times[r]+delta/s.speeds[r])
	}
	for _, r := range s.holders[y] {
		if maxTime >= limit {
			return noChange
		}
		if r != q && !slices.Contains(s.holders[x], r) {
			maxTime = max(maxTime, s.times[r]+deltaY/s.speeds[r])
		}
	}
	return change{slot: other, expert: x, slot2: -1, maxTime: maxTime}
}

// swapChange returns the change that swaps the experts in two slots, or noChange
// if the swap is not allowed.
func (s *search) swapChange(slot, other int) change {
	x, y := s.held[slot], s.held[other]
	p, q := slot/s.slots, other/s.slots
	if !s.allows(q, y, x) || !s.allows(p, x, y) || x == y || p == q || slices.Contains(s.holders[x], q) || slices.Contains(s.holders[y], p) {
		return noChange
	}
	delta := s.share(x, len(s.holders[x])) - s.share(y, len(s.holders[y]))
	return change{slot: slot, expert: y, slot2: other, expert2: x, maxTime: max(s.times[p]-delta/s.speeds[p], s.times[q]+delta/s.speeds[q])}
}

// apply makes the change.
func (s *search) apply(c change) {
	touched := []int{s.held[c.slot], c.expert}
	s.place(c.slot, c.expert)
	if c.slot2 >= 0 {
		s.place(c.slot2, c.expert2)
	}
	// The times of all holders of the touched experts are recomputed in full, so
	// that rounding errors don't accumulate.
	for _, e := range touched {
		for _, r := range s.holders[e] {
			s.updateTime(r)
		}
	}
	s.updateTime(c.slot / s.slots)
	if c.slot2 >= 0 {
		s.updateTime(c.slot2 / s.slots)
	}
}

// place puts the expert into the slot. It does not update times. If the rank holds
// the old expert in further slots, place removes their entries from holders too.
func (s *search) place(slot, expert int) {
	old, r := s.held[slot], slot/s.slots
	s.newCounts[r] += s.newCount(r, expert) - s.newCount(r, old)
	s.holders[old] = slices.DeleteFunc(s.holders[old], func(h int) bool { return h == r })
	s.held[slot] = expert
	s.holders[expert] = append(s.holders[expert], r)
}

// updateTime recomputes the time of a rank.
func (s *search) updateTime(rank int) {
	time := 0.0
	for _, e := range s.held[rank*s.slots : (rank+1)*s.slots] {
		time += s.share(e, len(s.holders[e]))
	}
	s.times[rank] = time / s.speeds[rank]
}

// newCount returns 1 if the rank did not hold the expert at the start, else 0. It
// returns 0 for unused slots.
func (s *search) newCount(rank, expert int) int {
	if s.initial[rank][expert] || expert == len(s.load)-1 {
		return 0
	}
	return 1
}

// allows reports whether replacing the old expert of a rank keeps the rank within
// maxNewPerRank.
func (s *search) allows(rank, old, expert int) bool {
	return s.newCounts[rank]+s.newCount(rank, expert)-s.newCount(rank, old) <= s.maxNewPerRank
}
