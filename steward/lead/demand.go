package lead

import (
	"time"

	"hornbeamtray/core/expert"
	"hornbeamtray/core/route"
)

const (
	measureInterval = 250 * time.Millisecond // length of one measurement
	maxCountAge     = 8 * measureInterval    // the increase since older counts is dropped, since it includes past demand
	minMeasurements = 3                      // measurements before the first plan
)

// demand measures the popularity of the experts from the counts of the ranks.
type demand struct {
	lastCounts   map[int]rankCounts // latest counts by rank
	window       [][]float64        // counts since the last measurement, by layer set and expert
	measuredAt   time.Time          // when the last measurement ended
	demands      []expert.Demand    // by layer set
	measurements int                // measurements so far, without those that had no counts
}

// rankCounts holds the counts of a rank at a point in time.
type rankCounts struct {
	counts []uint64
	at     time.Time
}

// due reports whether a measurement is due, for which the ranks must report their
// counts.
func (d *demand) due(now time.Time) bool { return now.Sub(d.measuredAt) >= measureInterval }

// add adds the increase of the ranks' counts since their last observation, and ends
// the measurement if one is due. It drops the increase of a rank that restarted or
// was last observed at least maxCountAge ago.
func (d *demand) add(observed map[int]Observation, shape route.Engine, now time.Time) {
	if len(d.demands) != shape.Layers || len(d.window[0]) != shape.Experts {
		*d = demand{lastCounts: map[int]rankCounts{}, demands: make([]expert.Demand, shape.Layers), window: newWindow(shape), measuredAt: now}
	}
	for rank, o := range observed {
		if len(o.Counts) != shape.Layers*shape.Experts {
			continue
		}
		if last := d.lastCounts[rank]; now.Sub(last.at) < maxCountAge {
			addCounts(d.window, last.counts, o.Counts, shape.Experts)
		}
		d.lastCounts[rank] = rankCounts{counts: o.Counts, at: now}
	}
	if !d.due(now) {
		return
	}
	anyCounts := false
	for set := range d.demands {
		before := d.demands[set].Samples
		d.demands[set] = d.demands[set].WithWindow(d.window[set])
		anyCounts = anyCounts || d.demands[set].Samples != before
	}
	if anyCounts {
		d.measurements++
	}
	d.window, d.measuredAt = newWindow(shape), now
}

// enough reports whether there are enough measurements to plan a placement.
func (d *demand) enough() bool { return d.measurements >= minMeasurements }

// newWindow returns a window of zero counts.
func newWindow(shape route.Engine) [][]float64 {
	window := make([][]float64, shape.Layers)
	for set := range window {
		window[set] = make([]float64, shape.Experts)
	}
	return window
}

// addCounts adds the increase of a rank's counts to a window.
func addCounts(window [][]float64, last, current []uint64, experts int) {
	if len(last) != len(current) {
		return
	}
	for i := range current {
		if current[i] < last[i] {
			return // the rank restarted
		}
	}
	for i := range current {
		window[i/experts][i%experts] += float64(current[i] - last[i])
	}
}
