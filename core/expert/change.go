package expert

import "math"

// change puts other experts into one or two slots.
type change struct {
	slot, expert   int
	slot2, expert2 int     // slot2 is -1 if only one slot changes
	maxTime        float64 // longest time, after the change, of the ranks whose time changes
}

// noChange is returned for a change that is not allowed or doesn't help.
var noChange = change{maxTime: math.Inf(1)}

// replicaChange returns the change that puts another replica of the expert in slot
// into the slot other, in place of its expert. It returns noChange if the change
// is not allowed, if the replaced expert has no further replica, or if maxTime
// would be above the limit.
func (s *search) replicaChange(slot, other int, limit float64) change {
	x, y := s.held[slot], s.held[other]
	q := other / s.slots
	if x == y || len(s.holders[y]) < 2 || s.isHolder(q, x) || !s.allows(q, y, x) {
		return noChange
	}
	shareX, shareY := s.load[x]/float64(len(s.holders[x])+1), s.load[y]/float64(len(s.holders[y])-1)
	deltaX, deltaY := shareX-s.shares[x], shareY-s.shares[y]
	maxTime := s.times[q] + (shareX-s.shares[y])/s.speeds[q]
	if maxTime > limit {
		return noChange
	}
	for _, r := range s.holders[x] {
		delta := deltaX
		if s.isHolder(r, y) {
			delta += deltaY
		}
		maxTime = max(maxTime, s.times[r]+delta/s.speeds[r])
	}
	for _, r := range s.holders[y] {
		if maxTime > limit {
			return noChange
		}
		if r != q && !s.isHolder(r, x) {
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
	if x == y || p == q || s.isHolder(q, x) || s.isHolder(p, y) || !s.allows(q, y, x) || !s.allows(p, x, y) {
		return noChange
	}
	delta := s.shares[x] - s.shares[y]
	return change{slot: slot, expert: y, slot2: other, expert2: x, maxTime: max(s.times[p]-delta/s.speeds[p], s.times[q]+delta/s.speeds[q])}
}

// selection is the best change of a scan so far. Of changes with equal costs it is the
// one with the lowest position, so that the order of the scan has no influence.
type selection struct {
	change
	cost     float64
	position int
	bound    float64 // maxTime of a change must be less
}

// slack is the part of the bound by which limit is higher, so that rounding excludes no
// change.
const slack = 1e-9

// limit returns the longest maxTime with which a change whose copies have the given
// price can be selected.
func (b *selection) limit(price float64) float64 {
	return min(b.bound, b.cost-price) + slack*b.bound
}

// source is a slot of the slowest rank, and its expert.
type source struct {
	slot, rank, expert int
	share              float64 // load of each replica of the expert
	shareAfter         float64 // share with another replica
	timeAfter          float64 // lower bound on the time of the holders with another replica
}

// source returns the source at a slot.
func (s *search) source(slot int) source {
	e := s.held[slot]
	f := source{slot: slot, rank: slot / s.slots, expert: e, share: s.shares[e], shareAfter: s.load[e] / float64(len(s.holders[e])+1)}
	for _, r := range s.holders[e] {
		f.timeAfter = max(f.timeAfter, s.times[r]+(f.shareAfter-f.share)/s.speeds[r])
	}
	return f
}

// bestChange returns the change with the lowest cost among those that involve an
// expert of the slowest rank, and reports whether any has a maxTime below that
// rank's time. The factor 1 - 1e-9 excludes gains that are due to rounding.
func (s *search) bestChange(slowest int) (change, bool) {
	b := selection{change: noChange, cost: math.MaxFloat64, bound: s.times[slowest] * (1 - 1e-9)}
	// One of the changes of the fastest rank often costs little, and then excludes most
	// others.
	fastest := s.fastest()
	for k := range s.slots {
		s.sources[k] = s.source(slowest*s.slots + k)
		s.scan(&b, &s.sources[k], fastest)
	}
	for q := range s.times {
		for k := range s.slots {
			if q != fastest {
				s.scan(&b, &s.sources[k], q)
			}
		}
	}
	return b.change, b.change != noChange
}

// scan considers the changes between a source and the slots of a rank. It omits those
// whose cost is too high by a bound that takes less time to compute.
func (s *search) scan(b *selection, f *source, rank int) {
	limit := b.limit(0)
	if s.newCounts[rank] == 0 {
		limit = b.limit(s.price(rank, len(s.load)-1, f.expert))
	}
	replicas := f.timeAfter <= limit && s.maxShares[rank] >= s.minReplaced(f.shareAfter, rank, limit)
	swaps := s.maxShares[rank] >= s.minReplaced(f.share, rank, limit) && s.minShares[rank] <= s.maxSwapped(f, limit)
	if !replicas && !swaps || s.isHolder(rank, f.expert) {
		return
	}
	for other := rank * s.slots; other < (rank+1)*s.slots; other++ {
		e := s.held[other]
		price, position := s.price(rank, e, f.expert), 2*(f.slot%s.slots*len(s.held)+other)
		if limit = b.limit(price); replicas && len(s.holders[e]) > 1 && s.shares[e] >= s.minReplaced(f.shareAfter, rank, limit) {
			s.consider(b, s.replicaChange(f.slot, other, limit), position)
		}
		if !swaps || s.shares[e] < s.minReplaced(f.share, rank, limit) {
			continue
		}
		limit = b.limit(price + s.price(f.rank, f.expert, e))
		if s.shares[e] >= s.minReplaced(f.share, rank, limit) && s.shares[e] <= s.maxSwapped(f, limit) {
			s.consider(b, s.swapChange(f.slot, other), position+1)
		}
	}
}

// minReplaced returns the least share of an expert of a rank that the source's expert can
// replace, with the given share, within the limit of the rank's time.
func (s *search) minReplaced(share float64, rank int, limit float64) float64 {
	return share - (limit-s.times[rank])*s.speeds[rank]
}

// maxSwapped returns the highest share of an expert that can replace the source's within
// the limit of the slowest rank's time.
func (s *search) maxSwapped(f *source, limit float64) float64 {
	return f.share + (limit-s.times[f.rank])*s.speeds[f.rank]
}

// consider selects the change if it costs less than the selected one. The cost is
// maxTime plus the price of the copies.
func (s *search) consider(b *selection, c change, position int) {
	if c.maxTime >= b.bound {
		return
	}
	cost := c.maxTime + s.price(c.slot/s.slots, s.held[c.slot], c.expert)
	if c.slot2 >= 0 {
		cost += s.price(c.slot2/s.slots, s.held[c.slot2], c.expert2)
	}
	if cost < b.cost || cost == b.cost && position < b.position {
		b.change, b.cost, b.position = c, cost, position
	}
}

// price returns the price of replacing the old expert of a rank.
func (s *search) price(rank, old, expert int) float64 {
	if s.newCount(rank, expert) <= s.newCount(rank, old) {
		return 0
	}
	return s.prices[rank]
}
