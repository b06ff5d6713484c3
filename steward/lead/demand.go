package lead

import (
	"time"

	"hornbeamtray/core/expert"
	"hornbeamtray/core/route"
	"hornbeamtray/core/switching"
)

const (
	measureInterval = 250 * time.Millisecond // length of one measurement
	maxCountAge     = 8 * measureInterval    // the increase since older counts is dropped, since it includes past demand
	minMeasurements = 3                      // measurements before the first plan

	// shiftInterval is the length of the first measurement after a shift, at least.
	shiftInterval = 100 * time.Millisecond
	// minShiftShare is the share of the counts of a usual measurement from which on
	// one after a shift is used alone: those of shiftInterval at half the usual load.
	// It goes on until the own rank has that many, for at most measureInterval. At a
	// shift, passes may take longer than shiftInterval.
	// Half of the counts of a usual measurement would take more than one of these.
	minShiftShare = 0.2
)

// demand measures the popularity of the experts from the counts of the ranks.
//
// After a sudden shift, the measurement in progress includes counts of both demands.
// So it is discarded when the shift is noticed: the ranks report their counts at once,
// as a baseline, and again when the own rank has enough counts since then.
type demand struct {
	lastCounts   map[int]rankCounts // latest counts by rank
	window       [][]float64        // counts since the last measurement, by layer set and expert
	measuredAt   time.Time          // when the last measurement ended
	demands      []expert.Demand    // by layer set
	measurements int                // measurements so far, without those that had no counts
	total        totals             // of the window
	usual        totals             // of a usual measurement, or zero if there was none

	detector   expert.Detector
	watched    rankCounts // the own rank's counts when they were last passed to the detector
	shifted    bool       // a shift was noticed, and no measurement after it has ended
	baselineAt time.Time  // when the ranks reported the baseline after the shift, or zero
	readAt     time.Time  // when their next counts after the baseline are due at the earliest, or zero
	ownEnough  bool       // the own rank has enough counts since the baseline
}

// totals holds the number of counts of all ranks and that of the own rank alone.
type totals struct {
	all, own float64
}

// rankCounts holds the counts of a rank at a point in time.
type rankCounts struct {
	counts []uint64
	at     time.Time
}

// due reports whether a measurement is due, for which the ranks must report their
// counts.
func (d *demand) due(now time.Time) bool {
	if d.shifted {
		return !now.Before(d.readAt) && (d.baselineAt.IsZero() || d.ownEnough || now.Sub(d.baselineAt) >= measureInterval)
	}
	return now.Sub(d.measuredAt) >= measureInterval
}

// add adds the increase of the ranks' counts since their last observation. If counts
// were requested from the ranks, they begin the measurement after a shift, or end the
// measurement in progress. It drops the increase of a rank that restarted or was last
// observed at least maxCountAge ago.
func (d *demand) add(observed map[int]Observation, shape route.Engine, requested bool, now time.Time) {
	if !d.fits(shape) {
		*d = demand{lastCounts: map[int]rankCounts{}, demands: make([]expert.Demand, shape.Layers), window: newWindow(shape), measuredAt: now}
	}
	begins := d.shifted && d.baselineAt.IsZero() && requested
	if begins {
		d.lastCounts, d.window, d.total = map[int]rankCounts{}, newWindow(shape), totals{}
		d.baselineAt, d.readAt = now, now.Add(shiftInterval)
	}
	for rank, o := range observed {
		if len(o.Counts) != shape.Layers*shape.Experts {
			continue
		}
		if last := d.lastCounts[rank]; now.Sub(last.at) < maxCountAge {
			added := addCounts(d.window, last.counts, o.Counts, shape.Experts)
			d.total.all += added
			if rank == switching.Leader {
				d.total.own += added
			}
		}
		d.lastCounts[rank] = rankCounts{counts: o.Counts, at: now}
	}
	if requested && !begins {
		d.end(shape, now)
	}
}

// fits reports whether the demand is that of engines of this shape.
func (d *demand) fits(shape route.Engine) bool {
	return len(d.demands) == shape.Layers && len(d.window[0]) == shape.Experts
}

// end ends the measurement in progress, unless it is the one after a shift and has too
// few counts yet.
func (d *demand) end(shape route.Engine, now time.Time) {
	enough := d.total.all >= minShiftShare*d.usual.all
	if d.shifted && !enough && now.Sub(d.baselineAt) < measureInterval {
		d.readAt = d.baselineAt.Add(measureInterval)
		return
	}
	for set, before := range d.demands {
		after := before.WithWindow(d.window[set])
		if alone := (expert.Demand{}).WithWindow(d.window[set]); d.shifted && enough && alone.Samples != 0 {
			after = alone
		}
		d.demands[set] = after
	}
	if d.total.all > 0 {
		d.measurements++
	}
	switch {
	case d.shifted:
		d.shifted, d.baselineAt, d.readAt, d.ownEnough, d.watched = false, time.Time{}, time.Time{}, false, d.lastCounts[switching.Leader]
	case d.usual.all == 0:
		d.usual = d.total
	case d.total.all > 0:
		part := float64(measureInterval) / float64(max(measureInterval, now.Sub(d.measuredAt)))
		d.usual = totals{all: (d.usual.all + d.total.all*part) / 2, own: (d.usual.own + d.total.own*part) / 2}
	}
	d.window, d.total, d.measuredAt = newWindow(shape), totals{}, now
}

// watch passes the increase of the own rank's counts to the detector, unless it did so
// less than minWatchGap ago. It reports whether the detector notices a shift. After a
// shift it notes whether the own rank has enough counts instead.
func (d *demand) watch(counts []uint64, shape route.Engine, now time.Time) (expert.Finding, bool) {
	if !d.fits(shape) || len(counts) != shape.Layers*shape.Experts {
		return expert.Finding{}, false
	}
	if d.shifted {
		increase := addCounts(newWindow(shape), d.lastCounts[switching.Leader].counts, counts, shape.Experts)
		d.ownEnough = !d.baselineAt.IsZero() && d.total.own+increase >= minShiftShare*d.usual.own
		return expert.Finding{}, false
	}
	if now.Sub(d.watched.at) < minWatchGap {
		return expert.Finding{}, false
	}
	last := d.watched
	d.watched = rankCounts{counts: counts, at: now}
	if now.Sub(last.at) >= maxCountAge {
		d.detector = d.detector.WithoutCounts()
		return expert.Finding{}, false
	}
	increase := newWindow(shape)
	addCounts(increase, last.counts, counts, shape.Experts)
	var found expert.Finding
	d.detector, found = d.detector.WithCounts(increase, d.demands)
	d.shifted = found.Shifted
	return found, found.Shifted
}

// enough reports whether there are enough measurements to plan a placement, and none
// after a shift is in progress.
func (d *demand) enough() bool { return d.measurements >= minMeasurements && !d.shifted }

// newWindow returns a window of zero counts.
func newWindow(shape route.Engine) [][]float64 {
	window := make([][]float64, shape.Layers)
	for set := range window {
		window[set] = make([]float64, shape.Experts)
	}
	return window
}

// addCounts adds the increase of a rank's counts to a window, and returns its sum.
func addCounts(window [][]float64, last, current []uint64, experts int) float64 {
	if len(last) != len(current) {
		return 0
	}
	for i := range current {
		if current[i] < last[i] {
			return 0 // the rank restarted
		}
	}
	added := 0.0
	for i := range current {
		n := float64(current[i] - last[i])
		window[i/experts][i%experts] += n
		added += n
	}
	return added
}
