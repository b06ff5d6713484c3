package expert

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Bounds weigh what a plan wins against what it costs.
type Bounds struct {
	Margin  float64 // Margin is the skew above the least possible that is left alone.
	Doubt   float64 // Doubt is how many standard errors of the measured load count as noise.
	Horizon float64 // Horizon is how many steps a new placement is expected to serve.
	Move    float64 // Move is what moving one expert costs, in steps of a balanced layer.
}

// DefaultBounds suit a group that plans about once a minute.
func DefaultBounds() Bounds {
	return Bounds{Margin: 0.02, Doubt: 3, Horizon: 500, Move: 1}
}

// Demand is the measured popularity of the experts of one layer.
type Demand struct {
	Load    []float64 // Load is each expert's share of the layer's tokens.
	Samples float64   // Samples is how many tokens the load was measured on.
}

// shift is the distance of a window from the demand before, as total variation,
// from which on the demand counts as another one. Windows of one demand are
// within a tenth of each other.
const shift = 0.2

// WithWindow returns the demand after another window of counts. The newest
// window weighs as much as all before it, so that drift is followed; after a
// sudden shift it counts alone.
func (d Demand) WithWindow(counts []float64) Demand {
	total := sum(counts)
	if total == 0 {
		return d
	}
	load := make([]float64, len(counts))
	for e := range counts {
		load[e] = counts[e] / total
	}
	if d.Samples == 0 || d.distance(load) > shift+math.Sqrt(float64(len(counts))/total) {
		return Demand{Load: load, Samples: total}
	}
	for e := range load {
		load[e] = (load[e] + d.Load[e]) / 2
	}
	return Demand{Load: load, Samples: total + d.Samples/2}
}

// distance returns the total variation between the demand and other loads. The
// noise of few samples adds to it.
func (d Demand) distance(load []float64) float64 {
	distance := 0.0
	for e := range load {
		distance += math.Abs(load[e]-d.Load[e]) / 2
	}
	return distance
}

// noise returns the relative standard error of the load of a rank that has an
// even share of it.
func (d Demand) noise(ranks int) float64 {
	if d.Samples == 0 {
		return math.Inf(1)
	}
	return math.Sqrt(float64(ranks) / d.Samples)
}

// Plan returns a placement whose slowest rank is faster, or the same one where
// that would win less than it costs or where noise alone may explain the skew.
func Plan(current Layer, demand Demand, speeds []float64, b Bounds) Layer {
	least := Bound(demand.Load, speeds, current.slots)
	before := current.Skew(demand.Load, speeds)
	alone := least * (1 + b.Margin + b.Doubt*demand.noise(current.Ranks()))
	if before <= alone {
		return current
	}
	target := least * (1 + b.Margin)
	best, won := current, 0.0
	for _, from := range []Layer{current, aligned(Pack(demand.Load, speeds, current.slots), current, speeds)} {
		after := climb(from, demand.Load, speeds, target)
		win := (before-after.Skew(demand.Load, speeds))*b.Horizon - float64(after.Moved(current))*b.Move
		if win > won {
			best, won = after, win
		}
	}
	return best
}

// kicks is how often a search that is stuck starts again from a disturbed
// placement.
const kicks = 24

// climb improves a placement until it meets the target or kicks don't help.
// It draws from a fixed sequence, so that all ranks plan the same.
func climb(from Layer, load, speeds []float64, target float64) Layer {
	random := rand.New(rand.NewPCG(uint64(len(load)), uint64(len(speeds))))
	s := newSearch(from, load, speeds)
	s.improve(target)
	best := s.layer()
	for range kicks {
		if best.Skew(load, speeds) <= target {
			break
		}
		s = newSearch(best, load, speeds)
		s.kick(random)
		s.improve(target)
		if after := s.layer(); after.Skew(load, speeds) < best.Skew(load, speeds) {
			best = after
		}
	}
	return best
}

// aligned returns a placement with its ranks renumbered, among those of one
// speed, so that they keep much of what they hold already.
func aligned(wanted, current Layer, speeds []float64) Layer {
	ranks, slots := wanted.Ranks(), wanted.slots
	held := make([]int, len(wanted.held))
	taken := make([]bool, ranks)
	for r := range ranks {
		best, most := -1, -1
		for w := range ranks {
			if taken[w] || speeds[w] != speeds[r] {
				continue
			}
			if common := overlap(wanted.Held(w), current.Held(r)); common > most {
				best, most = w, common
			}
		}
		taken[best] = true
		copy(held[r*slots:], wanted.held[best*slots:(best+1)*slots])
	}
	return Layer{slots: slots, held: held}
}

func overlap(a, b []int) int {
	n := 0
	for _, e := range a {
		if slices.Contains(b, e) {
			n++
		}
	}
	return n
}

// search improves a placement by small changes of its slowest rank.
type search struct {
	slots    int
	held     []int
	load     []float64
	speeds   []float64
	capacity []float64 // speeds of the ranks that hold each expert
	times    []float64 // of each rank
	holders  [][]int   // ranks that hold each expert
	unit     float64   // time of a perfect balance

	kept  [][]bool // experts that each rank held at first; nil where any number may be new
	fresh []int    // experts of each rank that it did not hold at first
	spare int      // most experts that may be new to a rank
}

func newSearch(l Layer, load, speeds []float64) *search {
	s := &search{
		slots: l.slots, held: slices.Clone(l.held), load: load, speeds: speeds,
		capacity: make([]float64, len(load)), holders: make([][]int, len(load)), unit: balance(load, speeds),
	}
	for slot, e := range s.held {
		r := slot / s.slots
		s.capacity[e] += speeds[r]
		s.holders[e] = append(s.holders[e], r)
	}
	s.times = l.Times(load, speeds)
	return s
}

func (s *search) layer() Layer {
	return Layer{slots: s.slots, held: s.held}
}

// change is a new content of one or two slots.
type change struct {
	slot, expert   int
	slot2, expert2 int // slot2 is -1 where there is one slot only
	worst          float64
}

// improve changes slots until the slowest rank is within target times the
// perfect balance, or no change helps.
func (s *search) improve(target float64) {
	for range 4 * len(s.held) {
		slowest := s.slowest()
		if s.times[slowest] <= target*s.unit {
			return
		}
		best, found := s.best(slowest)
		if !found {
			return
		}
		s.apply(best)
	}
}

// kick exchanges a few experts of the slowest rank for any others, for better
// or worse.
func (s *search) kick(random *rand.Rand) {
	for range 3 {
		slot := s.slowest()*s.slots + random.IntN(s.slots)
		other := random.IntN(len(s.held))
		for _, c := range []change{s.swap(slot, other), s.replica(slot, other)} {
			if c != useless {
				s.apply(c)
				break
			}
		}
	}
}

func (s *search) slowest() int {
	slowest := 0
	for r := range s.times {
		if s.times[r] > s.times[slowest] {
			slowest = r
		}
	}
	return slowest
}

// best returns the change that leaves the ranks it touches the fastest.
func (s *search) best(slowest int) (change, bool) {
	best := change{worst: s.times[slowest] * (1 - 1e-9)}
	found := false
	for k := range s.slots {
		slot := slowest*s.slots + k
		for other := range s.held {
			for _, c := range []change{s.replica(slot, other), s.swap(slot, other)} {
				if c.worst < best.worst {
					best, found = c, true
				}
			}
		}
	}
	return best, found
}

var useless = change{worst: math.Inf(1)}

// replica gives another rank a replica of the expert in slot, in place of a
// replica that it can spare.
func (s *search) replica(slot, other int) change {
	x, y := s.held[slot], s.held[other]
	q := other / s.slots
	if !s.bears(q, y, x) || x == y || len(s.holders[y]) < 2 || slices.Contains(s.holders[x], q) {
		return useless
	}
	shareX, shareY := s.load[x]/s.capacity[x], s.load[y]/s.capacity[y]
	newX, newY := s.load[x]/(s.capacity[x]+s.speeds[q]), s.load[y]/(s.capacity[y]-s.speeds[q])
	worst := s.times[q] - shareY + newX
	for _, r := range s.holders[x] {
		time := s.times[r] + newX - shareX
		if slices.Contains(s.holders[y], r) {
			time += newY - shareY
		}
		worst = max(worst, time)
	}
	for _, r := range s.holders[y] {
		if r != q && !slices.Contains(s.holders[x], r) {
			worst = max(worst, s.times[r]+newY-shareY)
		}
	}
	return change{slot: other, expert: x, slot2: -1, worst: worst}
}

// swap exchanges the experts of two ranks' slots. With different speeds the
// shares of other ranks change too, which apply accounts for.
func (s *search) swap(slot, other int) change {
	x, y := s.held[slot], s.held[other]
	p, q := slot/s.slots, other/s.slots
	if !s.bears(q, y, x) || !s.bears(p, x, y) || x == y || p == q || slices.Contains(s.holders[x], q) || slices.Contains(s.holders[y], p) {
		return useless
	}
	shareX, shareY := s.load[x]/s.capacity[x], s.load[y]/s.capacity[y]
	newX := s.load[x] / (s.capacity[x] - s.speeds[p] + s.speeds[q])
	newY := s.load[y] / (s.capacity[y] - s.speeds[q] + s.speeds[p])
	worst := max(s.times[p]-shareX+newY, s.times[q]-shareY+newX)
	if newX > shareX {
		for _, r := range s.holders[x] {
			if r != p {
				worst = max(worst, s.times[r]+newX-shareX)
			}
		}
	}
	if newY > shareY {
		for _, r := range s.holders[y] {
			if r != q {
				worst = max(worst, s.times[r]+newY-shareY)
			}
		}
	}
	return change{slot: slot, expert: y, slot2: other, expert2: x, worst: worst}
}

func (s *search) apply(c change) {
	touched := []int{s.held[c.slot], c.expert}
	s.put(c.slot, c.expert)
	if c.slot2 >= 0 {
		s.put(c.slot2, c.expert2)
	}
	// The times of all holders of the touched experts are worked out anew, so
	// that errors of rounding don't add up.
	for _, e := range touched {
		for _, r := range s.holders[e] {
			s.retime(r)
		}
	}
	s.retime(c.slot / s.slots)
	if c.slot2 >= 0 {
		s.retime(c.slot2 / s.slots)
	}
}

func (s *search) put(slot, expert int) {
	old, r := s.held[slot], slot/s.slots
	if s.kept != nil {
		s.fresh[r] += s.news(r, expert) - s.news(r, old)
	}
	s.capacity[old] -= s.speeds[r]
	s.holders[old] = slices.DeleteFunc(s.holders[old], func(h int) bool { return h == r })
	s.held[slot] = expert
	s.capacity[expert] += s.speeds[r]
	s.holders[expert] = append(s.holders[expert], r)
}

func (s *search) retime(rank int) {
	time := 0.0
	for _, e := range s.held[rank*s.slots : (rank+1)*s.slots] {
		time += s.load[e] / s.capacity[e]
	}
	s.times[rank] = time
}

// Pack returns a placement made from nothing: replicas by heat, the heaviest
// first to the rank with the least time. It ignores what ranks hold already.
func Pack(load, speeds []float64, slots int) Layer {
	ranks := len(speeds)
	replicas := spread(load, ranks, slots)
	type item struct {
		expert int
		share  float64
	}
	var items []item
	for e, n := range replicas {
		for range n {
			items = append(items, item{e, load[e] / float64(n)})
		}
	}
	slices.SortStableFunc(items, func(a, b item) int {
		switch {
		case a.share > b.share:
			return -1
		case a.share < b.share:
			return 1
		}
		return 0
	})
	held := slices.Repeat([]int{-1}, ranks*slots)
	filled := make([]int, ranks)
	times := make([]float64, ranks)
	for _, it := range items {
		best := -1
		for r := range ranks {
			if filled[r] == slots || slices.Contains(held[r*slots:r*slots+filled[r]], it.expert) {
				continue
			}
			if best < 0 || times[r] < times[best] {
				best = r
			}
		}
		if best < 0 {
			best = slices.IndexFunc(filled, func(n int) bool { return n < slots })
		}
		held[best*slots+filled[best]] = it.expert
		filled[best]++
		times[best] += it.share / speeds[best]
	}
	return Layer{slots: slots, held: held}
}
