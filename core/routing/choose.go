// Package routing decides which target a request goes to.
//
// It works on what an instance believes about targets, which is late and may be
// wrong: the target's agent has the last word on its own limit.
package routing

// Random draws even random numbers below n.
type Random interface {
	IntN(n int) int
}

// Candidate is a target that may take a request.
type Candidate struct {
	Target string
	Load   int // Load is the reported requests plus those sent since the report.
	Limit  int
}

// share is the part of the candidate's limit in use.
func (c Candidate) share() float64 {
	return float64(c.Load) / float64(max(1, c.Limit))
}

// Choose picks the less loaded of two random candidates among those below their
// limits, and reports whether there was any. Two draws keep many instances that
// see the same late reports from all choosing the same target.
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
	if free[j].share() < free[i].share() {
		i = j
	}
	return free[i], true
}

// Least picks the candidate that is the least loaded for its limit, at random
// among equal ones, and reports whether there was any. It suits loads that are
// known to be recent; on late ones Choose spreads better.
func Least(candidates []Candidate, random Random) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	var best []Candidate
	for _, c := range candidates {
		switch {
		case len(best) == 0 || c.share() < best[0].share():
			best = append(best[:0], c)
		case c.share() == best[0].share():
			best = append(best, c)
		}
	}
	return best[random.IntN(len(best))], true
}
