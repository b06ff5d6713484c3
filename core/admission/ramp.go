// Package admission limits how many requests a target runs at once. The limit
// rises gradually after each start and after the target turned cold, and one client
// account can't use all of it while others send requests.
//
// It works on counts and times only. Its callers refuse requests.
package admission

import "time"

// Detection of a warm target that turned cold, by the intervals between the parts of
// its answers. The baseline is the moving average of these intervals.
const (
	minSamples    = 8                     // intervals required before the baseline is used
	slowFactor    = 4                     // an interval longer than this many times the baseline is slow
	minSlow       = 20 * time.Millisecond // shorter intervals are never slow
	baselineShift = 3                     // each interval moves the baseline by 1/8 of the difference
)

// Bounds are the configured limits of a target, in concurrent requests.
type Bounds struct {
	Limit     int           // Limit applies when the target is warm.
	ColdLimit int           // ColdLimit applies just after its start.
	RampUp    time.Duration // RampUp is how long the limit takes to rise from ColdLimit to Limit.
}

// Ramp is the progress of a target from cold to warm. A Ramp made by NewRamp
// starts cold; the zero value started at the zero time, so it is warm.
type Ramp struct {
	start    time.Time
	baseline time.Duration // moving average of the interval between parts of an answer
	samples  int           // intervals in the baseline
}

// NewRamp returns a ramp that starts at time now.
func NewRamp(now time.Time) Ramp {
	return Ramp{start: now}
}

// Allowed returns the number of concurrent requests that the target may run at
// time now. It rises linearly from b.ColdLimit to b.Limit.
func (r Ramp) Allowed(b Bounds, now time.Time) int {
	elapsed := now.Sub(r.start)
	if b.ColdLimit >= b.Limit || elapsed >= b.RampUp {
		return b.Limit
	}
	return b.ColdLimit + int(float64(b.Limit-b.ColdLimit)*float64(max(0, elapsed))/float64(b.RampUp))
}

// WithRestart returns the ramp restarted at time now. It keeps the baseline,
// which describes the warm target.
func (r Ramp) WithRestart(now time.Time) Ramp {
	r.start = now
	return r
}

// WithInterval returns the ramp with one more interval between parts of an
// answer added to the baseline.
func (r Ramp) WithInterval(interval time.Duration) Ramp {
	if r.samples == 0 {
		r.baseline = interval
	} else {
		r.baseline += (interval - r.baseline) >> baselineShift
	}
	r.samples++
	return r
}

// SlowThreshold returns the interval between parts of an answer above which the
// target counts as cold. It reports false while the baseline has too few intervals.
func (r Ramp) SlowThreshold() (time.Duration, bool) {
	return max(minSlow, slowFactor*r.baseline), r.samples >= minSamples
}
