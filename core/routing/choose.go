// Package routing decides which target a request goes to.
//
// Its input is an instance's view of the targets, which may be stale or wrong.
// The target's agent enforces the target's limit.
package routing

// Random returns uniform random numbers in [0, n).
type Random interface {
	IntN(n int) int
}

// Candidate is a target that may take a request.
type Candidate struct {
	Target string
	Load   int // Load is the estimated number of requests at the target.
	Limit  int
}

// utilization returns the load as a fraction of the limit.
func (c Candidate) utilization() float64 {
	return float64(c.Load) / float64(max(1, c.Limit))
}

// Choose returns the less utilized of two random candidates that are below their
// limits. It returns false if no candidate is below its limit. Taking the better
// of two random candidates keeps instances that see the same stale reports from
// all choosing the same target.
func Choose(candidates []Candidate, random Random) (Candidate, bool) {
	free := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.Load < c.Limit {
			free = append(free, c)
		}
	}
	switch len(free) {
	case 0:
		return Candidate{}, false
	case 1:
		return free[0], true
	}
	i := random.IntN(len(free))
	j := random.IntN(len(free) - 1)
	if j >= i {
		j++
	}
	if free[j].utilization() < free[i].utilization() {
		i = j
	}
	return free[i], true
}

// LeastLoaded returns the candidate with the lowest utilization, a random one if
// several are equal, and reports whether there was any candidate. It suits loads
// that are up to date; with stale loads Choose spreads requests better.
func LeastLoaded(candidates []Candidate, random Random) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	var best []Candidate
	for _, c := range candidates {
		switch {
		case len(best) == 0 || c.utilization() < best[0].utilization():
			best = append(best[:0], c)
		case c.utilization() == best[0].utilization():
			best = append(best, c)
		}
	}
	return best[random.IntN(len(best))], true
}
