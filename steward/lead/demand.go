package lead

import (
	"time"

	"hornbeamtray/core/expert"
)

const (
	window     = 250 * time.Millisecond // counts of so long are one measurement
	leastKnown = 3                      // measurements from which on demand is planned for
)

// demand measures which experts requests choose, from the counts of all ranks.
type demand struct {
	counts map[int][]uint64 // last counts by rank
	window [][]float64      // counts by set and expert since the last measurement
	since  time.Time        // of the last measurement
	sets   []expert.Demand
	known  int // measurements with any counts
}

// take adds what the ranks counted since the last call. A rank that was not
// observed adds it later; one that started anew begins at nothing.
func (d *demand) take(observed map[int]Observation, shape Shape, now time.Time) {
	if len(d.sets) != shape.Sets || len(d.window[0]) != shape.Experts {
		*d = demand{counts: map[int][]uint64{}, sets: make([]expert.Demand, shape.Sets), window: zeros(shape), since: now}
	}
	for rank, o := range observed {
		if len(o.Counts) != shape.Sets*shape.Experts {
			continue
		}
		if last, found := d.counts[rank]; found {
			addCounts(d.window, last, o.Counts, shape.Experts)
		}
		d.counts[rank] = o.Counts
	}
	if now.Sub(d.since) < window {
		return
	}
	counted := false
	for set := range d.sets {
		before := d.sets[set].Samples
		d.sets[set] = d.sets[set].WithWindow(d.window[set])
		counted = counted || d.sets[set].Samples != before
	}
	if counted {
		d.known++
	}
	d.window, d.since = zeros(shape), now
}

// enough reports whether the demand is known well enough to plan for it.
func (d *demand) enough() bool { return d.known >= leastKnown }

func zeros(shape Shape) [][]float64 {
	out := make([][]float64, shape.Sets)
	for set := range out {
		out[set] = make([]float64, shape.Experts)
	}
	return out
}

func addCounts(windows [][]float64, last, now []uint64, experts int) {
	if len(last) != len(now) {
		return
	}
	for i := range now {
		if now[i] < last[i] {
			return // the rank started anew
		}
	}
	for i := range now {
		windows[i/experts][i%experts] += float64(now[i] - last[i])
	}
}
