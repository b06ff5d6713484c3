package switching

import (
	"time"

	"hornbeamtray/core/pace"
)

const (
	minAhead       = 2 // passes from the last one that began to the one to hold; a Hold order takes about a tenth of a pass
	maxAhead       = 5 // keeps a pass from being held for longer than GuardianDelay if passes are short
	minStepSpan    = 200 * time.Millisecond
	toleranceShare = 4 // a held pass may begin late by 1/toleranceShare of a pass, which readers of a stream don't notice

	// unknownArming is how long arming takes as long as no switch was observed: some ten messages in a row
	// between stewards that have a fraction of a processor.
	unknownArming = 100 * time.Millisecond
)

// Timing estimates how long the passes of a group take, and how long a leader needs to arm
// its ranks. It is an immutable value; the zero value knows nothing.
type Timing struct {
	step   uint64    // last pass that had begun at the time stepAt
	stepAt time.Time // zero for never
	pass   pace.Pace
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
	if passes := step - t.step; passes > 0 {
		t.pass = t.pass.With(span/time.Duration(passes), at)
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

// Ahead returns how many passes after the last one that began the pass to hold is. Up to one
// pass less than that fits between the observation and the beginning of the held pass. If
// arming takes longer, the held pass begins late, and all streams of the group have a
// gap; each pass further ahead is another one on the old map.
func (t Timing) Ahead(now time.Time) uint64 {
	pass, arming := t.pass.Mean(now), t.arming.Likely(now)
	if pass <= 0 {
		return minAhead
	}
	if arming <= 0 {
		arming = unknownArming
	}
	needed := max(0, arming-pass/toleranceShare)
	passes := 1 + (needed+pass-1)/pass
	return uint64(min(max(passes, minAhead), maxAhead))
}
