package expert

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// drawCounts draws the experts of that many tokens, independently of each other.
func drawCounts(load []float64, tokens int, random *rand.Rand) []float64 {
	limits := make([]float64, len(load))
	total := 0.0
	for e := range load {
		total += load[e]
		limits[e] = total
	}
	counts := make([]float64, len(load))
	for range tokens {
		e, _ := slices.BinarySearch(limits, random.Float64()*total)
		counts[e]++
	}
	return counts
}

// reassigned returns the load with that part of the experts' loads exchanged among them.
func reassigned(load []float64, part float64, random *rand.Rand) []float64 {
	next := slices.Clone(load)
	chosen := random.Perm(len(load))[:int(part*float64(len(load)))]
	for i, e := range chosen {
		next[e] = load[chosen[(i+1)%len(chosen)]]
	}
	return next
}

// layerLoads is the load of each layer.
type layerLoads [][]float64

func zipfLoads(layers, experts int, random *rand.Rand) layerLoads {
	loads := make(layerLoads, layers)
	for i := range loads {
		loads[i] = zipfLoad(random, experts, 0.8)
	}
	return loads
}

func (l layerLoads) draw(tokens int, random *rand.Rand) [][]float64 {
	counts := make([][]float64, len(l))
	for i := range l {
		counts[i] = drawCounts(l[i], tokens, random)
	}
	return counts
}

func (l layerLoads) reassigned(part float64, random *rand.Rand) layerLoads {
	next := make(layerLoads, len(l))
	for i := range l {
		next[i] = reassigned(l[i], part, random)
	}
	return next
}

// demands returns demands measured in that many tokens of each layer.
func (l layerLoads) demands(tokens int, random *rand.Rand) []Demand {
	demands := make([]Demand, len(l))
	for i, counts := range l.draw(tokens, random) {
		demands[i] = Demand{}.WithWindow(counts)
	}
	return demands
}

// TestDetector checks that sampling noise is hardly ever taken for a shift, which costs
// messages between instances, and that shifts are noticed.
func TestDetector(t *testing.T) {
	const windows, maxFalse = 1000, 1
	tests := []struct {
		layers, experts, tokens int     // tokens of each layer in a window
		known                   int     // windows' tokens that the known demand was measured in
		part                    float64 // of the experts whose popularity is reassigned in a shift
		minNoticed              float64 // part of the shifts that must be noticed in the first full window
	}{
		{1, 144, 100, 20, 0.5, 0},
		{1, 144, 1000, 20, 0.5, 0.8},
		{1, 144, 5000, 4, 0.5, 0.85},
		{4, 72, 25, 20, 0.5, 0}, // 100 counts in all
		{4, 72, 100, 4, 0.5, 0.9},
		{12, 128, 9, 20, 0.5, 0}, // 108 counts in all
		{12, 128, 100, 20, 0.5, 0.99},
		{12, 144, 40, 20, 0.5, 0.9},
		{12, 144, 400, 20, 0.5, 0.99},
		{12, 144, 400, 4, 0.75, 0.99},
		{12, 144, 10, 4, 0.75, 0}, // known from few counts
		{12, 144, 40, 2, 0.75, 0.5},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d layers of %d experts, %d tokens, known from %d", tt.layers, tt.experts, tt.tokens, tt.known), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 12))
			loads := zipfLoads(tt.layers, tt.experts, random)
			known := loads.demands(tt.known*tt.tokens, random)
			var d Detector
			falseAlarms, judged, shifts, noticed := 0, 0, 0, 0
			distance, noise := 0.0, 0.0
			for w := range windows {
				if w%100 == 0 {
					known = loads.demands(tt.known*tt.tokens, random)
				}
				var found Finding
				if d, found = d.WithCounts(loads.draw(tt.tokens, random), known); found.Counts > 0 {
					judged, distance, noise = judged+1, distance+found.Distance, noise+found.Noise
				}
				if found.Shifted {
					falseAlarms++
				}
				if w%20 == 10 {
					shifts++
					_, found = d.WithoutCounts().WithCounts(loads.reassigned(tt.part, random).draw(tt.tokens, random), known)
					if found.Shifted {
						noticed++
					}
				}
			}
			t.Logf("%d false alarms in %d windows, mean distance %.3f, noise %.3f; %d of %d shifts noticed in one window",
				falseAlarms, windows, distance/float64(judged), noise/float64(judged), noticed, shifts)
			if falseAlarms > maxFalse {
				t.Errorf("%d false alarms in %d windows, want at most %d", falseAlarms, windows, maxFalse)
			}
			if part := float64(noticed) / float64(shifts); part < tt.minNoticed {
				t.Errorf("%.2f of the shifts were noticed, want at least %.2f", part, tt.minNoticed)
			}
		})
	}
}

// TestDetectorCollects guards against a shift that is missed since each of its windows
// alone has too few counts.
func TestDetectorCollects(t *testing.T) {
	random := rand.New(rand.NewPCG(seed, 13))
	loads := zipfLoads(12, 128, random)
	known := loads.demands(5000, random)
	shifted := loads.reassigned(0.75, random)
	var d Detector
	for range 10 {
		var found Finding
		if d, found = d.WithCounts(shifted.draw(minCountsPerLayer/4, random), known); found.Shifted {
			return
		}
	}
	t.Errorf("no shift was noticed in 10 windows of %d counts per layer", minCountsPerLayer/4)
}

// TestDetectorLearnsExcess guards against an alarm in each window if the counts of one
// rank vary more than sampling noise: here each request chooses one expert for all of its
// 30 tokens. Such a rank must still notice a shift.
func TestDetectorLearnsExcess(t *testing.T) {
	const perRequest, requests, windows = 30, 40, 400
	random := rand.New(rand.NewPCG(seed, 14))
	loads := zipfLoads(12, 128, random)
	known := loads.demands(100000, random)
	draw := func(loads layerLoads) [][]float64 {
		counts := loads.draw(requests, random)
		for _, layer := range counts {
			for e := range layer {
				layer[e] *= perRequest
			}
		}
		return counts
	}
	var d Detector
	alarms, late := 0, 0
	for w := range windows {
		var found Finding
		if d, found = d.WithCounts(draw(loads), known); found.Shifted {
			alarms++
			if w >= windows/4 {
				late++
			}
		}
	}
	t.Logf("%d alarms in %d windows, %d after the first quarter; usual excess %.3f", alarms, windows, late, d.excess)
	if alarms > windows/8 || late > 0 {
		t.Errorf("%d alarms in %d windows of unchanged demand, %d after the first quarter; want at most %d and none", alarms, windows, late, windows/8)
	}
	if _, found := d.WithCounts(draw(loads.reassigned(0.75, random)), known); !found.Shifted {
		t.Errorf("a shift was not noticed: %+v", found)
	}
}

// TestMeanDeviation compares meanDeviation with the definition.
func TestMeanDeviation(t *testing.T) {
	for _, trials := range []int{0, 1, 2, 7, 40, 150, 4000} {
		for _, probability := range []float64{0.001, 0.05, 0.3, 0.5} {
			want, mean := 0.0, float64(trials)*probability
			for k := range trials + 1 {
				all, _ := math.Lgamma(float64(trials + 1))
				some, _ := math.Lgamma(float64(k + 1))
				others, _ := math.Lgamma(float64(trials - k + 1))
				logarithm := all - some - others + float64(k)*math.Log(probability) + float64(trials-k)*math.Log1p(-probability)
				want += math.Exp(logarithm) * math.Abs(float64(k)-mean)
			}
			if got := meanDeviation(float64(trials), probability); math.Abs(got-want) > 0.005*want+1e-12 {
				t.Errorf("meanDeviation(%d, %g) = %g, want %g", trials, probability, got, want)
			}
		}
	}
}

// BenchmarkDetector judges one window of the largest groups.
func BenchmarkDetector(b *testing.B) {
	random := rand.New(rand.NewPCG(seed, 15))
	loads := zipfLoads(12, 144, random)
	known, counts := loads.demands(20000, random), loads.draw(400, random)
	b.ReportAllocs()
	for b.Loop() {
		Detector{}.WithCounts(counts, known)
	}
}
