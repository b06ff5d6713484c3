// Package admission decides how much work a target bears at a moment: a ramp
// after each start, a fall back to it when the target turns cold, and room that
// one client account may not take from the others.
//
// It knows counts and times only and refuses nothing itself.
package admission

import "time"

// Signs that a warm target turned cold.
const (
	minSamples  = 8                     // proofs before a baseline counts
	slowFactor  = 4                     // a step this many times the baseline is slow
	slowFloor   = 20 * time.Millisecond // steps below this are never slow
	weightShift = 3                     // each sample moves the baseline by 1/8
)

// Bounds are what operators declare of a target.
type Bounds struct {
	Limit int           // Limit is what the target bears when warm.
	ColdLimit  int           // Cold is what it bears just after its start.
	RampUp  time.Duration // Warm is how long it takes from cold to warm.
}

// Ramp is how far a target is from cold to warm. The zero value is cold since
// the zero time; start with NewRamp.
type Ramp struct {
	since time.Time     // start of the ramp
	step  time.Duration // baseline of the time between parts of an answer
	seen  int           // samples behind the baseline
}

// NewRamp returns a ramp that starts at time now.
func NewRamp(now time.Time) Ramp {
	return Ramp{since: now}
}

// Allowed returns the number of requests that the target bears at time now.
func (r Ramp) Allowed(b Bounds, now time.Time) int {
	elapsed := now.Sub(r.since)
	if b.ColdLimit >= b.Limit || elapsed >= b.RampUp {
		return b.Limit
	}
	return b.ColdLimit + int(float64(b.Limit-b.ColdLimit)*float64(max(0, elapsed))/float64(b.RampUp))
}

// WithRestart returns the ramp begun anew. The baseline stays: it describes the
// warm target.
func (r Ramp) WithRestart(now time.Time) Ramp {
	r.since = now
	return r
}

// WithInterval returns the ramp after an answer whose parts came step apart.
func (r Ramp) WithInterval(step time.Duration) Ramp {
	if r.seen == 0 {
		r.step = step
	} else {
		r.step += (step - r.step) >> weightShift
	}
	r.seen++
	return r
}

// SlowThreshold returns the step from which on the target seems cold, and false
// while there is no baseline to tell by.
func (r Ramp) SlowThreshold() (time.Duration, bool) {
	return max(slowFloor, slowFactor*r.step), r.seen >= minSamples
}
