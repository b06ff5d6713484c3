package expert

import (
	"math"
	"slices"
)

// Bounds limit when Plan changes a placement, by how much, and how long it
// searches. Trigger and Target are ratios of skew to MinSkew.
type Bounds struct {
	Trigger       float64 // Trigger is the ratio up to which Plan keeps the current placement.
	Target        float64 // Target is the ratio at which the search stops.
	Doubt         float64 // Doubt is the number of standard errors of the skew that Plan adds to Trigger.
	MaxNewPerRank int     // MaxNewPerRank is the maximum number of experts that are new to a rank.
	Perturbations int     // Perturbations is the maximum number of times that a search which is stuck makes random changes.
}

// Demand is the measured popularity of the experts of one layer.
type Demand struct {
	Load    []float64 // Load is each expert's share of the layer's tokens.
	Samples float64   // Samples is the effective number of tokens in the measurement.
}

// shiftThreshold is the total variation distance beyond sampling noise above which
// a measurement window replaces the previous demand. Windows of the same demand
// are within 0.1 of each other.
const shiftThreshold = 0.2

// WithWindow returns the demand after another window of token counts per expert.
// The new window weighs as much as all earlier ones together, so that the demand
// follows drift. After a sudden shift only the new window counts.
func (d Demand) WithWindow(counts []float64) Demand {
	total := sum(counts)
	if total == 0 {
		return d
	}
	load := make([]float64, len(counts))
	for e := range counts {
		load[e] = counts[e] / total
	}
	if d.Samples == 0 || d.distance(load) > shiftThreshold+math.Sqrt(float64(len(counts))/total) {
		return Demand{Load: load, Samples: total}
	}
	for e := range load {
		load[e] = (load[e] + d.Load[e]) / 2
	}
	return Demand{Load: load, Samples: total + d.Samples/2}
}

// distance returns the total variation distance between the demand and the load.
// Sampling noise increases it if there are few samples.
func (d Demand) distance(load []float64) float64 {
	distance := 0.0
	for e := range load {
		distance += math.Abs(load[e]-d.Load[e]) / 2
	}
	return distance
}

// noise returns the relative standard error of the measured skew of a placement,
// estimated as that of the load of a rank whose experts have the average number
// of replicas.
func (d Demand) noise(l Layer) float64 {
	replicas := float64(len(l.held)) / float64(len(d.Load))
	return math.Sqrt(float64(l.Ranks()) / max(1, replicas) / d.Samples)
}

// Plan returns a placement with a faster slowest rank. It returns the current
// placement if its skew is within b.Trigger, if noise alone may explain the
// skew, or if the search finds nothing better. The second result is the current
// skew divided by MinSkew, or 0 if there are no samples.
func Plan(current Layer, demand Demand, speeds []float64, b Bounds) (Layer, float64) {
	p := plan(current, demand, speeds, b, budget{})
	return p.layer, p.skew
}

// layerPlan is the plan of one layer.
type layerPlan struct {
	layer     Layer
	skew      float64 // skew before the plan divided by MinSkew, or 0 if there are no samples
	reached   float64 // skew of the planned layer, or 0 if the layer was kept
	missed    bool    // whether reached is above the target
	newCounts []int   // number of experts in each rank that are new to it, or nil if the layer was kept
}

// plan plans a layer within a budget.
func plan(current Layer, demand Demand, speeds []float64, b Bounds, spent budget) layerPlan {
	if demand.Samples == 0 {
		return layerPlan{layer: current}
	}
	least, skew := MinSkew(demand.Load, speeds, current.slots), current.Skew(demand.Load, speeds)
	if skew <= least*(b.Trigger+b.Doubt*demand.noise(current)) {
		return layerPlan{layer: current, skew: skew / least}
	}
	s, target := newSearch(current, demand.Load, speeds, b.MaxNewPerRank, spent), b.Target*least
	best, reached := s.optimize(current, target, b.Perturbations)
	if reached > target {
		repacked, aligned := alignRanks(pack(demand.Load, speeds, current.slots), current, speeds, len(demand.Load), b.MaxNewPerRank)
		if aligned && s.fits(repacked) {
			if improved, after := s.optimize(repacked, target, b.Perturbations); after < reached {
				best, reached = improved, after
			}
		}
	}
	s.reset(best)
	return layerPlan{layer: best, skew: skew / least, reached: reached, missed: reached > target, newCounts: s.newCounts}
}

// alignRanks returns the wanted placement with ranks of equal speed renumbered, so
// that each keeps many of the experts that it holds in the current placement. It
// reports whether each rank then has at most maxNew new experts.
func alignRanks(wanted, current Layer, speeds []float64, experts, maxNew int) (Layer, bool) {
	ranks, slots := wanted.Ranks(), wanted.slots
	held := make([]int, len(wanted.held))
	taken := make([]bool, ranks)
	for r := range ranks {
		bestRank, mostCommon := -1, -1
		own := current.held[r*slots : (r+1)*slots]
		for w := range ranks {
			if taken[w] || speeds[w] != speeds[r] {
				continue
			}
			if common := overlap(wanted.held[w*slots:(w+1)*slots], own); common > mostCommon {
				bestRank, mostCommon = w, common
			}
		}
		taken[bestRank] = true
		added := 0
		for k, e := range wanted.held[bestRank*slots : (bestRank+1)*slots] {
			held[r*slots+k] = e
			if e != experts && !slices.Contains(own, e) {
				added++
			}
		}
		if added > maxNew {
			return Layer{}, false
		}
	}
	return Layer{slots: slots, held: held}, true
}

// overlap returns the number of elements of a that are also in b.
func overlap(a, b []int) int {
	n := 0
	for _, e := range a {
		if slices.Contains(b, e) {
			n++
		}
	}
	return n
}

// pack returns a placement that ignores the current one. It takes the replicas by
// decreasing load and puts each on the rank with the least time so far. An
// unused slot holds the number one past the last expert, as in FromRanks.
func pack(load, speeds []float64, slots int) Layer {
	ranks := len(speeds)
	replicas := replicaCounts(load, ranks, slots)
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
	held := slices.Repeat([]int{len(load)}, ranks*slots)
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
