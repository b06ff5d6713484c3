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
// ranks for which there is no baseline after the shift, and against reading the ranks'
// counts although the own rank has too few.
func TestMeasurementAfterShift(t *testing.T) {
	zero := []uint64{500, 0, 0, 500}
	baseline := reading{0, map[int][]uint64{0: zero, 1: zero}}
	at := func(milliseconds int, own, other []uint64) reading {
		return reading{time.Duration(milliseconds) * time.Millisecond, map[int][]uint64{0: own, 1: other}}
	}
	second := func(n uint64) []uint64 { return []uint64{500, n, 0, 500} }
	tests := []struct {
		name     string
		readings []reading // the first is the baseline
		reads    int       // of these, those at which the ranks are asked for their counts
		want     []float64 // demand after the last reading
		shifted  bool      // the measurement is still in progress then
	}{
		{"enough after 100 ms", []reading{baseline, at(100, second(100), second(100))}, 2, []float64{0, 1, 0, 0}, false},
		{"too few after 100 ms", []reading{baseline, at(100, second(99), second(99))}, 1, []float64{0.5, 0, 0, 0.5}, true},
		{"enough after 150 ms", []reading{baseline, at(100, zero, zero), at(150, second(300), second(300))}, 2, []float64{0, 1, 0, 0}, false},
		{"too few at another rank", []reading{baseline, at(100, second(100), zero), at(150, second(150), zero)}, 2, []float64{0.5, 0, 0, 0.5}, true},
		{"a small shift", []reading{baseline, at(100, []uint64{585, 30, 0, 585}, []uint64{585, 30, 0, 585})}, 2, []float64{0.425, 0.15, 0, 0.425}, false},
		{"few after 250 ms, far from the demand", []reading{baseline, at(100, second(100), second(20)), at(250, second(110), second(40))}, 3, []float64{0, 1, 0, 0}, false},
		{"few after 250 ms, as noise makes them", []reading{baseline, at(100, zero, zero), at(250, zero, []uint64{501, 1, 0, 500})}, 2, []float64{0.5, 0.25, 0, 0.25}, false},
		{"none after 250 ms", []reading{baseline, at(100, zero, zero), at(250, zero, zero)}, 2, []float64{0.5, 0, 0, 0.5}, false},
		{"a rank without a baseline", []reading{{0, map[int][]uint64{0: zero}}, at(100, second(300), []uint64{900, 0, 0, 500})}, 2, []float64{0, 1, 0, 0}, false},
		{"a rank that restarts", []reading{baseline, at(100, second(300), []uint64{9, 0, 0, 0})}, 2, []float64{0, 1, 0, 0}, false},
		{"a pause", []reading{baseline, at(int(maxCountAge/time.Millisecond), second(300), second(300))}, 2, []float64{0.5, 0, 0, 0.5}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var d demand
			d.add(nil, shape, false, start)
			d.lastCounts[1] = rankCounts{counts: []uint64{100, 0, 0, 500}, at: start} // before the shift
			d.demands[0] = expert.Demand{Load: []float64{0.5, 0, 0, 0.5}, Samples: 1000}
			d.usual, d.measurements, d.shifted = totals{all: 1000, own: 500}, minMeasurements, true
			reads := 0
			for _, r := range tt.readings {
				now := start.Add(r.after)
				observed := map[int]Observation{}
				for rank, counts := range r.counts {
					observed[rank] = Observation{Counts: counts}
				}
				if d.watch(r.counts[0], shape, now); d.due(now) {
					d.add(observed, shape, true, now)
					reads++
				}
			}
			if d.shifted != tt.shifted || reads != tt.reads {
				t.Errorf("measurement in progress: %t, after %d reads; want %t, %d", d.shifted, reads, tt.shifted, tt.reads)
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

// TestWatch guards against a shift that is reported for counts of a pause or of a rank
// that restarted, and for counts that were read too soon after each other.
func TestWatch(t *testing.T) {
	tests := []struct {
		name    string
		after   time.Duration // since the counts that were last judged
		counts  []uint64
		shifted bool
	}{
		{"a shift", minWatchGap, []uint64{500, 100, 0, 500}, true},
		{"unchanged demand", minWatchGap, []uint64{550, 0, 0, 550}, false},
		{"no counts", minWatchGap, []uint64{500, 0, 0, 500}, false},
		{"too soon", minWatchGap - time.Millisecond, []uint64{500, 100, 0, 500}, false},
		{"after a pause", maxCountAge, []uint64{500, 100, 0, 500}, false},
		{"a rank that restarted", minWatchGap, []uint64{0, 100, 0, 0}, false},
		{"counts of another shape", minWatchGap, []uint64{500, 100}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var d demand
			d.add(nil, shape, false, start)
			d.demands[0] = expert.Demand{Load: []float64{0.5, 0, 0, 0.5}, Samples: 1000}
			d.watch([]uint64{500, 0, 0, 500}, shape, start)
			if found, shifted := d.watch(tt.counts, shape, start.Add(tt.after)); shifted != tt.shifted || d.shifted != tt.shifted {
				t.Errorf("shift: %t, %+v; want %t", shifted, found, tt.shifted)
			}
		})
	}
}
