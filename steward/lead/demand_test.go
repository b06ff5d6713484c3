package lead

import (
	"math"
	"testing"
	"time"

	"hornbeamtray/core/expert"
)

// reading is one reading of the counts of the ranks after a shift.
type reading struct {
	after  time.Duration // after the shift was noticed
	counts map[int][]uint64
}

// TestMeasurementAfterShift guards against a plan for too few counts, or for counts of
// ranks for which there is no baseline after the shift.
func TestMeasurementAfterShift(t *testing.T) {
	zero := []uint64{500, 0, 0, 500}
	baseline := map[int][]uint64{0: zero, 1: zero}
	tests := []struct {
		name     string
		readings []reading // the first is the baseline
		readAt   time.Duration
		want     []float64 // demand after the last reading
		shifted  bool      // the measurement is still in progress then
	}{
		{"enough after 100 ms", []reading{{0, baseline}, {100 * time.Millisecond, map[int][]uint64{0: {500, 100, 0, 500}, 1: {500, 100, 0, 500}}}}, 0, []float64{0, 1, 0, 0}, false},
		{"too few after 100 ms", []reading{{0, baseline}, {100 * time.Millisecond, map[int][]uint64{0: {500, 90, 0, 500}, 1: {500, 90, 0, 500}}}}, 250 * time.Millisecond, []float64{0.5, 0, 0, 0.5}, true},
		{"a small shift", []reading{{0, baseline}, {100 * time.Millisecond, map[int][]uint64{0: {585, 30, 0, 585}, 1: {585, 30, 0, 585}}}}, 0, []float64{0.425, 0.15, 0, 0.425}, false},
		{"few after 250 ms, far from the demand", []reading{
			{0, baseline},
			{100 * time.Millisecond, map[int][]uint64{0: zero, 1: {500, 90, 0, 500}}},
			{250 * time.Millisecond, map[int][]uint64{0: zero, 1: {500, 180, 0, 500}}},
		}, 0, []float64{0, 1, 0, 0}, false},
		{"few after 250 ms, as noise makes them", []reading{
			{0, baseline},
			{100 * time.Millisecond, map[int][]uint64{0: zero, 1: zero}},
			{250 * time.Millisecond, map[int][]uint64{0: zero, 1: {501, 1, 0, 500}}},
		}, 0, []float64{0.5, 0.25, 0, 0.25}, false},
		{"none after 250 ms", []reading{
			{0, baseline},
			{100 * time.Millisecond, baseline},
			{250 * time.Millisecond, baseline},
		}, 0, []float64{0.5, 0, 0, 0.5}, false},
		{"a rank without a baseline", []reading{
			{0, map[int][]uint64{0: zero}},
			{100 * time.Millisecond, map[int][]uint64{0: {500, 300, 0, 500}, 1: {900, 0, 0, 500}}},
		}, 0, []float64{0, 1, 0, 0}, false},
		{"a rank that restarts", []reading{
			{0, baseline},
			{100 * time.Millisecond, map[int][]uint64{0: {500, 300, 0, 500}, 1: {9, 0, 0, 0}}},
		}, 0, []float64{0, 1, 0, 0}, false},
		{"a pause", []reading{
			{0, baseline},
			{maxCountAge, map[int][]uint64{0: {500, 300, 0, 500}, 1: {500, 300, 0, 500}}},
		}, 0, []float64{0.5, 0, 0, 0.5}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var d demand
			d.add(nil, shape, false, start)
			d.lastCounts[1] = rankCounts{counts: []uint64{100, 0, 0, 500}, at: start} // before the shift
			d.demands[0] = expert.Demand{Load: []float64{0.5, 0, 0, 0.5}, Samples: 1000}
			d.usualCounts, d.measurements, d.shifted = 1000, minMeasurements, true
			for _, r := range tt.readings {
				now := start.Add(r.after)
				if !d.due(now) {
					t.Fatalf("no counts are due %s after the shift", r.after)
				}
				observed := map[int]Observation{}
				for rank, counts := range r.counts {
					observed[rank] = Observation{Counts: counts}
				}
				d.add(observed, shape, true, now)
			}
			if d.shifted != tt.shifted || tt.shifted && !d.readAt.Equal(start.Add(tt.readAt)) {
				t.Errorf("measurement in progress: %t, next counts due %s after the shift; want %t, %s", d.shifted, d.readAt.Sub(start), tt.shifted, tt.readAt)
			}
			if d.enough() == d.shifted {
				t.Errorf("enough to plan: %t, with a measurement after a shift in progress: %t", d.enough(), d.shifted)
			}
			for e, load := range d.demands[0].Load {
				if math.Abs(load-tt.want[e]) > 0.01 {
					t.Errorf("the demand is %.3f, want %.3f", d.demands[0].Load, tt.want)
					break
				}
			}
		})
	}
}
