package lead

import (
	"time"

	"hornbeamtray/core/expert"
	"hornbeamtray/core/route"
)

const (
	window     = 250 * time.Millisecond // counts of so long are one measurement
	stale      = 8 * window             // counts that are older begin anew; what came between is no demand of now
	leastKnown = 3                      // measurements from which on demand is planned for
)

// demand measures which experts requests choose, from the counts of all ranks.
type demand struct {
	counts map[int]counted // last counts by rank
	window [][]float64     // counts by set and expert since the last measurement
	since  time.Time       // of the last measurement
	sets   []expert.Demand
	known  int // measurements with any counts
}

// counted is what a rank had counted at a time.
type counted struct {
	counts []uint64
	at     time.Time
}

// due reports whether a measurement is due at time now, so that ranks are to tell
// their counts.
func (d *demand) due(now time.Time) bool { return now.Sub(d.since) >= window }

// take adds what the ranks counted since the last call. A rank that was not
// observed for a short while adds it later; one that started anew, or was not
// observed for long, begins at nothing.
func (d *demand) take(observed map[int]Observation, shape route.Engine, now time.Time) {
	if len(d.sets) != shape.Layers || len(d.window[0]) != shape.Experts {
		*d = demand{counts: map[int]counted{}, sets: make([]expert.Demand, shape.Layers), window: zeros(shape), since: now}
	}
	for rank, o := range observed {
		if len(o.Counts) != shape.Layers*shape.Experts {
			continue
		}
		if last := d.counts[rank]; now.Sub(last.at) < stale {
			addCounts(d.window, last.counts, o.Counts, shape.Experts)
		}
		d.counts[rank] = counted{counts: o.Counts, at: now}
	}
	if !d.due(now) {
		return
	}
	anew := false
	for set := range d.sets {
		before := d.sets[set].Samples
		d.sets[set] = d.sets[set].WithWindow(d.window[set])
		anew = anew || d.sets[set].Samples != before
	}
	if anew {
		d.known++
	}
	d.window, d.since = zeros(shape), now
}

// enough reports whether the demand is known well enough to plan for it.
func (d *demand) enough() bool { return d.known >= leastKnown }

func zeros(shape route.Engine) [][]float64 {
	out := make([][]float64, shape.Layers)
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
