package switching

import (
	"time"

	"hornbeamtray/core/pace"
)

const (
	minAhead       = 1
	defaultAhead   = 2                      // while the time of passes isn't known; a Hold order takes about a tenth of a pass
	maxAhead       = 5                      // keeps a pass from being held for longer than GuardianDelay if passes are short
	minStepSpan    = 200 * time.Millisecond // in less time hardly more than one pass begins
	maxStepAge     = 2 * time.Second        // an older observation says nothing about the present passes
	toleranceShare = 4                      // a held pass may be expected to begin late by 1/toleranceShare of a pass

	// unknownArming is how long arming takes as long as no switch was observed: some ten messages in a row
	// between stewards that have a fraction of a processor.
	unknownArming = 100 * time.Millisecond
)

// Timing estimates how long the passes of a group take, and how long a leader needs to arm
// its ranks. It is an immutable value; the zero value knows nothing.
type Timing struct {
	step   uint64        // last pass that had begun at the time stepAt
	stepAt time.Time     // zero for never
	pass   time.Duration // of the latest passes; 0 if none began lately
	arming pace.Pace
}

// WithStep returns the timing after the leader observed that step was the last pass that had
// begun. A group without requests begins no passes, so a time without any says nothing.
func (t Timing) WithStep(step uint64, at time.Time) Timing {
	if t.stepAt.IsZero() || step < t.step {
		t.step, t.stepAt = step, at
		return t
	}
	span := at.Sub(t.stepAt)
	if span < minStepSpan {
		return t
	}
	t.pass = 0
	if passes := step - t.step; passes > 0 {
		t.pass = span / time.Duration(passes)
	}
	t.step, t.stepAt = step, at
	return t
}

// WithArming returns the timing after a switch, of which took is the time from the
// observation of the ranks before the Hold order until the pass was released.
func (t Timing) WithArming(took time.Duration, at time.Time) Timing {
	t.arming = t.arming.With(took, at)
	return t
}

// Ahead returns how many passes after the last one that began the pass to hold is: the least
// number with which the held pass is expected to begin late by 1/toleranceShare of a pass at
// most. All streams of the group wait for a held pass that is due before the ranks are armed, but
// each pass further ahead is another one on the old map, and long passes show that the old
// map no longer fits.
func (t Timing) Ahead(now time.Time) uint64 {
	if t.pass <= 0 || now.Sub(t.stepAt) > maxStepAge {
		return defaultAhead
	}
	arming := t.arming.Mean(now)
	if arming <= 0 {
		arming = unknownArming
	}
	ahead := uint64(minAhead)
	for ahead < maxAhead && expectedDelay(arming-time.Duration(ahead-1)*t.pass, t.pass) > t.pass/toleranceShare {
		ahead++
	}
	return ahead
}

// expectedDelay returns by how much a pass is expected to begin late that is held for a time
// from now, if it would begin at any time within the next pass with equal probability.
func expectedDelay(held, pass time.Duration) time.Duration {
	switch {
	case held <= 0:
		return 0
	case held < pass:
		return time.Duration(float64(held) * float64(held) / float64(2*pass))
	}
	return held - pass/2
}
