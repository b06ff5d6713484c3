package expert

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// zipfLoad returns a Zipf load over the experts in random order.
func zipfLoad(random *rand.Rand, experts int, exponent float64) []float64 {
	load := make([]float64, experts)
	for i, e := range random.Perm(experts) {
		load[e] = 1 / math.Pow(float64(i+1), exponent)
	}
	return load
}

// TestMaxNewPerRank plans with a limit on new experts per rank. Each plan must keep
// the limit, and the skew must be at most maxSkew times MinSkew after the last.
func TestMaxNewPerRank(t *testing.T) {
	tests := []struct {
		name                          string
		ranks, experts, slots, maxNew int
		exponent, maxSkew             float64
		plans                         int // number of consecutive plans
	}{
		{"12 ranks", 12, 72, 8, 3, 0.8, 1.12, 2},
		{"12 ranks, very hot", 12, 72, 8, 3, 1.2, 1.2, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 11))
			lists := make([][]int, tt.ranks)
			for e := range tt.experts {
				lists[e%tt.ranks] = append(lists[e%tt.ranks], e)
			}
			load, speeds := zipfLoad(random, tt.experts, tt.exponent), slices.Repeat([]float64{1}, tt.ranks)
			layer := FromRanks(lists, tt.slots, tt.experts)
			minSkew := MinSkew(load, speeds, tt.slots)
			for n := range tt.plans {
				before := layer
				layer, _ = Plan(layer, Demand{Load: load, Samples: math.Inf(1)}, speeds, Bounds{Trigger: tt.maxSkew, Target: tt.maxSkew, MaxNewPerRank: tt.maxNew})
				t.Logf("plan %d: skew %.3f, minimum %.3f, %d moves", n+1, layer.Skew(load, speeds), minSkew, countNew(t, before, layer, tt.experts, tt.maxNew))
			}
			if got := layer.Skew(load, speeds); got > tt.maxSkew*minSkew {
				t.Errorf("skew is %.3f after %d plans, want at most %.3f", got, tt.plans, tt.maxSkew*minSkew)
			}
			held := map[int]bool{}
			for _, list := range layer.ExpertsByRank(tt.experts) {
				for _, e := range list {
					held[e] = true
				}
			}
			if len(held) != tt.experts {
				t.Errorf("placement holds %d experts, want all %d", len(held), tt.experts)
			}
		})
	}
}

// TestTimes checks that the replicas of an expert share its load evenly, also on
// ranks of different speeds.
func TestTimes(t *testing.T) {
	tests := []struct {
		name         string
		lists        [][]int
		load, speeds []float64
		want         []float64
	}{
		{"even ranks", [][]int{{0, 1}, {0}}, []float64{4, 2}, []float64{1, 1}, []float64{4, 2}},
		{"one slow", [][]int{{0, 1}, {0}}, []float64{4, 2}, []float64{1, 0.5}, []float64{4, 4}},
		{"none shared", [][]int{{1}, {0}}, []float64{4, 2}, []float64{0.5, 1}, []float64{4, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := FromRanks(tt.lists, 2, 2).Times(tt.load, tt.speeds); !slices.Equal(got, tt.want) {
				t.Errorf("Times returned %v, want %v", got, tt.want)
			}
		})
	}
}

// TestMoreSlotsThanNeeded plans for small groups in which each rank has room for
// every expert twice. The placement must still hold every expert.
func TestMoreSlotsThanNeeded(t *testing.T) {
	for _, tt := range []struct {
		name   string
		lists  [][]int
		speeds []float64
	}{
		{"one rank", [][]int{{0, 1, 2}}, []float64{1}},
		{"two ranks", [][]int{{0, 1}, {2}}, []float64{1, 1}},
		{"one of two slow", [][]int{{0, 1}, {2}}, []float64{1, 0.1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			load := []float64{5, 1, 1}
			layer, _ := Plan(FromRanks(tt.lists, 6, 3), Demand{Load: load, Samples: math.Inf(1)}, tt.speeds, Bounds{Trigger: 1.01, Target: 1.01, MaxNewPerRank: 6, Perturbations: 3})
			held := map[int]bool{}
			for _, list := range layer.ExpertsByRank(3) {
				for _, e := range list {
					held[e] = true
				}
			}
			if len(held) != 3 {
				t.Errorf("placement holds experts %v, want 0 to 2", held)
			}
		})
	}
}

// TestLastUnusedSlots plans for a group in which only one rank has unused slots. After one of
// them is filled, the search must still compare the times of all ranks: other changes are
// left that reach the target.
func TestLastUnusedSlots(t *testing.T) {
	for _, tt := range []struct {
		name  string
		lists [][]int
	}{
		{"first rank", [][]int{{4}, {0, 1, 5}, {2, 3, 6}}},
		{"last rank", [][]int{{0, 1, 5}, {2, 3, 6}, {4}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			load, speeds := []float64{9, 8, 1, 9, 6, 1, 2}, []float64{1, 1, 1}
			layer, _ := Plan(FromRanks(tt.lists, 3, 7), Demand{Load: load, Samples: math.Inf(1)}, speeds, Bounds{Trigger: 1.1, Target: 1.1, MaxNewPerRank: 3})
			if got := layer.Skew(load, speeds); got > 1.1*MinSkew(load, speeds, 3) {
				t.Errorf("skew is %.3f, want at most 1.1 times %.3f; the ranks hold %v", got, MinSkew(load, speeds, 3), layer.ExpertsByRank(7))
			}
		})
	}
}

// TestSlowRanks sets the speed of every fifth rank to 0.37. Three plans must move
// enough load off these ranks to bring the skew within maxSkew times MinSkew.
func TestSlowRanks(t *testing.T) {
	const ranks, experts, slots, maxNew, maxSkew = 63, 252, 5, 2, 1.35
	random := rand.New(rand.NewPCG(7, 11))
	lists := make([][]int, ranks)
	for e := range experts {
		lists[e%ranks] = append(lists[e%ranks], e)
	}
	speeds := slices.Repeat([]float64{1}, ranks)
	for r := 0; r < ranks; r += 5 {
		speeds[r] = 0.37
	}
	load := zipfLoad(random, experts, 0.65)
	layer := FromRanks(lists, slots, experts)
	minSkew := MinSkew(load, speeds, slots)
	for range 3 {
		layer, _ = Plan(layer, Demand{Load: load, Samples: math.Inf(1)}, speeds, Bounds{Trigger: maxSkew, Target: maxSkew, MaxNewPerRank: maxNew})
	}
	if got := layer.Skew(load, speeds) / minSkew; got > maxSkew {
		t.Errorf("skew is %.3f times MinSkew, want at most %.2f", got, maxSkew)
	}
}

// countNew returns the number of experts that are new to a rank, and checks that
// no rank has more than maxNew of them.
func countNew(t *testing.T, before, after Layer, experts, maxNew int) int {
	t.Helper()
	total := 0
	for r, list := range after.ExpertsByRank(experts) {
		n := 0
		for _, e := range list {
			if !slices.Contains(before.Held(r), e) {
				n++
			}
		}
		if n > maxNew {
			t.Errorf("rank %d has %d new experts, want at most %d", r, n, maxNew)
		}
		total += n
	}
	return total
}

// BenchmarkSpare plans for groups with more slots than experts.
func BenchmarkSpare(b *testing.B) {
	for _, bm := range []struct {
		name                  string
		ranks, experts, slots int
	}{{"12 ranks", 12, 72, 8}, {"63 ranks", 63, 252, 5}} {
		b.Run(bm.name, func(b *testing.B) {
			lists := make([][]int, bm.ranks)
			for e := range bm.experts {
				lists[e%bm.ranks] = append(lists[e%bm.ranks], e)
			}
			load, speeds := zipfLoad(rand.New(rand.NewPCG(7, 11)), bm.experts, 1), slices.Repeat([]float64{1}, bm.ranks)
			for b.Loop() {
				Plan(FromRanks(lists, bm.slots, bm.experts), Demand{Load: load, Samples: math.Inf(1)}, speeds, Bounds{Trigger: 1.1, Target: 1.1, MaxNewPerRank: 3})
			}
		})
	}
}
