// Package expert plans the placement of experts on the ranks of a group. Each
// step takes as long as its slowest rank, so the plan balances the time of the
// ranks while moving few weights.
//
// Each slot of a rank holds one expert or is unused. An expert may be in several
// slots; each copy is called a replica. The load of an expert is its share of the
// tokens.
//
// The plan is based on measured demand and rank speeds. Package switching decides
// how a group switches to a new placement.
package expert

import "slices"

// Layer is the placement of one layer: the expert in each slot, the slots of
// rank 0 first.
type Layer struct {
	slots int   // slots per rank
	held  []int // expert in each slot; never written after construction
}

// NewLayer returns a placement that spreads the experts evenly over the ranks,
// each with the given number of slots. There must be at least as many slots in
// all as experts.
func NewLayer(experts, ranks, slots int) Layer {
	held := make([]int, ranks*slots)
	for k := range slots {
		for r := range ranks {
			held[r*slots+k] = (k*ranks + r) % experts
		}
	}
	return Layer{slots: slots, held: held}
}

// FromRanks returns a placement in which each rank holds the experts in its
// list. A list must not be longer than slots, the number of slots per rank.
// An unused slot holds the number one past the last expert, which has no load;
// ExpertsByRank omits it.
func FromRanks(lists [][]int, slots, experts int) Layer {
	held := slices.Repeat([]int{experts}, len(lists)*slots)
	for r, list := range lists {
		copy(held[r*slots:(r+1)*slots], list)
	}
	return Layer{slots: slots, held: held}
}

// Ranks returns the number of ranks.
func (l Layer) Ranks() int { return len(l.held) / l.slots }

// Slots returns the number of slots of each rank.
func (l Layer) Slots() int { return l.slots }

// Held returns the expert in each slot of a rank.
func (l Layer) Held(rank int) []int {
	return slices.Clone(l.held[rank*l.slots : (rank+1)*l.slots])
}

// ExpertsByRank returns the experts of each rank, sorted and without duplicates.
// It omits expert numbers that are not below the given number of experts.
func (l Layer) ExpertsByRank(experts int) [][]int {
	lists := make([][]int, l.Ranks())
	for r := range lists {
		list := slices.DeleteFunc(l.Held(r), func(e int) bool { return e >= experts })
		slices.Sort(list)
		lists[r] = slices.Compact(list)
	}
	return lists
}

// WithExpert returns the layer with the given expert in the slot.
func (l Layer) WithExpert(slot, expert int) Layer {
	l.held = slices.Clone(l.held)
	l.held[slot] = expert
	return l
}

// Times returns the time that each rank needs for one step, in units of load
// divided by speed. The replicas of an expert share its load evenly.
func (l Layer) Times(load, speeds []float64) []float64 {
	replicas := make([]int, len(load))
	for _, e := range l.held {
		if e < len(load) {
			replicas[e]++
		}
	}
	times := make([]float64, l.Ranks())
	for slot, e := range l.held {
		if r := slot / l.slots; e < len(load) {
			times[r] += load[e] / float64(replicas[e]) / speeds[r]
		}
	}
	return times
}

// Skew returns the time of the slowest rank divided by the time of a perfectly
// balanced step.
func (l Layer) Skew(load, speeds []float64) float64 {
	return slices.Max(l.Times(load, speeds)) / balancedTime(load, speeds)
}

// Moved returns the number of slots that hold an expert new to their rank.
// Moving an expert between slots of one rank is not counted. A slot of FromRanks
// that is newly unused is counted, as if it held an expert.
func (l Layer) Moved(before Layer) int {
	moved := 0
	for r := range l.Ranks() {
		unmatched := before.Held(r)
		for _, e := range l.Held(r) {
			if i := slices.Index(unmatched, e); i >= 0 {
				unmatched = slices.Delete(unmatched, i, i+1)
			} else {
				moved++
			}
		}
	}
	return moved
}

// Map is the placement of all layers of a group. Its number increases with each
// switch of the group.
type Map struct {
	Number uint64

	layers []Layer // never written after construction
}

// NewMap returns map number 1, with the placement of NewLayer in each layer.
func NewMap(layers, experts, ranks, slots int) Map {
	return Map{Number: 1, layers: slices.Repeat([]Layer{NewLayer(experts, ranks, slots)}, layers)}
}

// Layers returns the placement of each layer.
func (m Map) Layers() []Layer { return slices.Clone(m.layers) }

// WithLayers returns the map with the next number and the given placements.
func (m Map) WithLayers(layers []Layer) Map {
	return Map{Number: m.Number + 1, layers: slices.Clone(layers)}
}

// balancedTime returns the time of a step if all ranks finished together.
func balancedTime(load, speeds []float64) float64 {
	return sum(load) / sum(speeds)
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// MinSkew returns a lower bound on the skew of any placement. It is above 1 where
// there are too few slots to split the load of the hottest experts further.
func MinSkew(load, speeds []float64, slots int) float64 {
	replicas := replicaCounts(load, len(speeds), slots)
	maxShare := 0.0
	for e := range load {
		maxShare = max(maxShare, load[e]/float64(replicas[e]))
	}
	return max(1, maxShare/slices.Max(speeds)/balancedTime(load, speeds))
}

// replicaCounts returns the number of replicas of each expert: one each, plus the
// remaining slots, each given to the expert with the most load per replica. An
// expert has at most one replica per rank.
func replicaCounts(load []float64, ranks, slots int) []int {
	replicas := make([]int, len(load))
	shares := slices.Clone(load)
	for e := range replicas {
		replicas[e] = 1
	}
	for range ranks*slots - len(load) {
		hottest := -1
		for e, share := range shares {
			if replicas[e] < ranks && (hottest < 0 || share > shares[hottest]) {
				hottest = e
			}
		}
		if hottest < 0 {
			break
		}
		replicas[hottest]++
		shares[hottest] = load[hottest] / float64(replicas[hottest])
	}
	return replicas
}
