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
	load     []float64 // of each expert; the last element is for unused slots
	shares   []float64 // load of each replica of an expert
	speeds   []float64
	times    []float64 // time of each rank for one step
	holders  [][]int   // ranks that hold each expert, once per replica
	holds    []bool    // by rank and expert: whether the rank is among the holders
	balanced float64   // time of a perfectly balanced step

	initial       []bool // by rank and expert: whether the rank held the expert at the start
	newCounts     []int  // number of experts in each rank that are new to it
	maxNewPerRank int    // maximum of newCounts
	budget        budget
	prices        []float64 // time that a change must gain for another copy to each rank

	minShares, maxShares []float64 // of the experts in each rank
	sources              []source  // of bestChange
}

func newSearch(l Layer, load, speeds []float64, maxNewPerRank int, b budget) *search {
	ranks, experts := len(speeds), len(load)+1
	floats, flags := make([]float64, 2*experts+4*ranks), make([]bool, 2*ranks*experts)
	s := &search{
		slots: l.slots, speeds: speeds, balanced: balancedTime(load, speeds), maxNewPerRank: maxNewPerRank, budget: b,
		held: make([]int, len(l.held)), holders: make([][]int, experts), newCounts: make([]int, ranks), sources: make([]source, l.slots),
		load: floats[:experts], shares: floats[experts : 2*experts], times: floats[2*experts:][:ranks], prices: floats[2*experts+ranks:][:ranks],
		maxShares: floats[2*experts+2*ranks:][:ranks], minShares: floats[2*experts+3*ranks:],
		holds: flags[:ranks*experts], initial: flags[ranks*experts:],
	}
	copy(s.load, load)
	// Few experts have more replicas than fit into their part of this slice.
	const replicas = 4
	ranksOf := make([]int, replicas*experts)
	for e := range s.holders {
		s.holders[e] = ranksOf[replicas*e : replicas*e : replicas*(e+1)]
	}
	for slot, e := range l.held {
		s.initial[slot/s.slots*experts+e] = true
	}
	s.reset(l)
	return s
}

// reset replaces the placement; initial stays as it is.
func (s *search) reset(l Layer) {
	copy(s.held, l.held)
	clear(s.newCounts)
	clear(s.holds)
	for e := range s.holders {
		s.holders[e] = s.holders[e][:0]
	}
	for slot, e := range s.held {
		r := slot / s.slots
		s.holders[e] = append(s.holders[e], r)
		s.holds[r*len(s.load)+e] = true
		s.newCounts[r] += s.newCount(r, e)
	}
	for e := range s.shares {
		s.updateShare(e)
	}
	for r := range s.times {
		s.updateTime(r)
		s.times[r] = 0
	}
	for slot, e := range s.held { // in the order of Layer.Times, for the same rounding
		s.times[slot/s.slots] += s.shares[e] / s.speeds[slot/s.slots]
	}
	s.budget.setPrices(s.prices, s.newCounts, s.balanced)
}

// layer returns the placement.
func (s *search) layer() Layer {
	return Layer{slots: s.slots, held: slices.Clone(s.held)}
}

// fits reports whether the copies of a placement are within the budget.
func (s *search) fits(l Layer) bool {
	s.reset(l)
	return s.budget.fits(s.newCounts)
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
		for _, c := range []change{s.swapChange(slot, other), s.replicaChange(slot, other, math.MaxFloat64)} {
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

// fastest returns the rank with the shortest time.
func (s *search) fastest() int {
	fastest := 0
	for r := range s.times {
		if s.times[r] < s.times[fastest] {
			fastest = r
		}
	}
	return fastest
}

// apply makes the change.
func (s *search) apply(c change) {
	touched := [2]int{s.held[c.slot], c.expert}
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
	s.budget.setPrices(s.prices, s.newCounts, s.balanced)
}

// place puts the expert into the slot. It does not update times. If the rank holds
// the old expert in further slots, place removes their entries from holders too.
func (s *search) place(slot, expert int) {
	old, r := s.held[slot], slot/s.slots
	s.newCounts[r] += s.newCount(r, expert) - s.newCount(r, old)
	s.holders[old] = slices.DeleteFunc(s.holders[old], func(h int) bool { return h == r })
	s.holds[r*len(s.load)+old] = false
	s.held[slot] = expert
	s.holders[expert] = append(s.holders[expert], r)
	s.holds[r*len(s.load)+expert] = true
	s.updateShare(old)
	s.updateShare(expert)
}

// updateShare recomputes the load of each replica of an expert. An expert without load, such
// as the one of unused slots, may have lost all its holders in place but still be held.
func (s *search) updateShare(expert int) {
	s.shares[expert] = 0
	if s.load[expert] > 0 {
		s.shares[expert] = s.load[expert] / float64(len(s.holders[expert]))
	}
}

// updateTime recomputes the time of a rank, and the bounds of its shares.
func (s *search) updateTime(rank int) {
	time, least, most := 0.0, math.Inf(1), 0.0
	for _, e := range s.held[rank*s.slots : (rank+1)*s.slots] {
		share := s.shares[e]
		time += share
		least, most = min(least, share), max(most, share)
	}
	s.times[rank], s.minShares[rank], s.maxShares[rank] = time/s.speeds[rank], least, most
}

// isHolder reports whether the rank is among the holders of the expert.
func (s *search) isHolder(rank, expert int) bool { return s.holds[rank*len(s.load)+expert] }

// newCount returns 1 if the rank did not hold the expert at the start, else 0. It
// returns 0 for unused slots.
func (s *search) newCount(rank, expert int) int {
	if s.initial[rank*len(s.load)+expert] || expert == len(s.load)-1 {
		return 0
	}
	return 1
}

// allows reports whether replacing the old expert of a rank keeps the rank within
// maxNewPerRank and the budget.
func (s *search) allows(rank, old, expert int) bool {
	added := s.newCount(rank, expert) - s.newCount(rank, old)
	return added <= 0 || s.newCounts[rank]+added <= s.maxNewPerRank && !math.IsInf(s.prices[rank], 1)
}
