package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Parameters of a simulation in which instances see the same stale reports.
const (
	targetCount  = 12
	limit        = 8
	ticks        = 20_000 // of 10 ms each
	meanDuration = 100    // average duration of a request, in ticks
	halfLife     = 25     // half-life of the reported requests of other instances, in ticks
)

// policy is a way to choose a target from an instance's view.
type policy struct {
	name   string
	choose func(inst *instance, random *rand.Rand) int
}

// instance is one instance's view of the targets.
type instance struct {
	// Requests at each target: in the last report, this instance's own at the
	// time of that report, and its own now. Then the ticks since the last report,
	// and the number of requests that roundRobin sent.
	reported, ownAtReport, own [targetCount]int
	age, sent                  int
}

// estimate returns the estimated load of target t, computed as core/entry does.
func (inst *instance) estimate(t int) int {
	others := float64(max(0, inst.reported[t]-inst.ownAtReport[t]))
	return inst.own[t] + int(math.Ceil(others*math.Exp2(-float64(inst.age)/halfLife)))
}

func roundRobin(inst *instance, _ *rand.Rand) int {
	inst.sent++
	return inst.sent % targetCount
}

func leastReported(inst *instance, _ *rand.Rand) int {
	best := 0
	for t := range targetCount {
		if inst.reported[t] < inst.reported[best] {
			best = t
		}
	}
	return best
}

func twoReported(inst *instance, random *rand.Rand) int {
	i, j := random.IntN(targetCount), random.IntN(targetCount)
	if inst.reported[j] < inst.reported[i] {
		return j
	}
	return i
}

func chooseEstimated(inst *instance, random *rand.Rand) int {
	candidates := make([]Candidate, targetCount)
	for t := range targetCount {
		candidates[t] = Candidate{Target: fmt.Sprint(t), Load: inst.estimate(t), Limit: limit}
	}
	c, found := Choose(candidates, random)
	if !found {
		return random.IntN(targetCount)
	}
	return slices.IndexFunc(candidates, func(d Candidate) bool { return d.Target == c.Target })
}

// loadStats is the distribution of the targets' loads over a run.
type loadStats struct{ p50, p99, highest int }

// simulate runs the policy under an offered load of three quarters of the
// targets' capacity. Each instance receives a report every lag ticks.
func simulate(p policy, instanceCount, lag int) loadStats {
	random := rand.New(rand.NewPCG(1979, 8))
	instances := make([]instance, instanceCount)
	var running [targetCount]int
	type end struct{ instance, target int }
	ends := make([][]end, ticks)
	var samples []int
	rate := 0.75 * targetCount * limit / meanDuration
	for tick := range ticks {
		for _, e := range ends[tick] {
			running[e.target]--
			instances[e.instance].own[e.target]--
		}
		for i := range instances {
			inst := &instances[i]
			inst.age++
			if (tick+i*lag/instanceCount)%lag == 0 {
				inst.reported, inst.ownAtReport, inst.age = running, inst.own, 0
			}
		}
		for random.Float64() < rate/(1+rate) {
			i := random.IntN(instanceCount)
			t := p.choose(&instances[i], random)
			running[t]++
			instances[i].own[t]++
			if until := tick + 1 + int(random.ExpFloat64()*meanDuration); until < ticks {
				ends[until] = append(ends[until], end{i, t})
			}
		}
		if tick > ticks/10 {
			samples = append(samples, running[:]...)
		}
	}
	slices.Sort(samples)
	return loadStats{samples[len(samples)/2], samples[len(samples)*99/100], samples[len(samples)-1]}
}

// TestHerd compares policies under stale reports. At every lag, the p99 load with
// Choose must not exceed that with round robin, which uses no reports.
func TestHerd(t *testing.T) {
	policies := []policy{{"round robin", roundRobin}, {"least reported", leastReported}, {"two, reported", twoReported}, {"chosen", chooseEstimated}}
	tests := []struct {
		name           string
		instances, lag int
	}{
		{"3 instances, 100 ms", 3, 10},
		{"9 instances, 100 ms", 9, 10},
		{"9 instances, 1 s", 9, 100},
		{"15 instances, 1 s", 15, 100},
		{"15 instances, 3 s", 15, 300},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			loads := map[string]loadStats{}
			for _, p := range policies {
				loads[p.name] = simulate(p, tt.instances, tt.lag)
				t.Logf("%-15s p50=%d p99=%d most=%d limit=%d", p.name, loads[p.name].p50, loads[p.name].p99, loads[p.name].highest, limit)
			}
			if got, want := loads["chosen"].p99, loads["round robin"].p99; got > want {
				t.Errorf("p99 load with Choose is %d, want at most %d as with round robin", got, want)
			}
		})
	}
}
