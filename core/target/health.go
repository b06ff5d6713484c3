package target

import (
	"fmt"
	"time"
)

// WithRestart returns the state after the target started anew or seems to have:
// it bears no more than a cold one.
func (s State) WithRestart(cause string, now time.Time) State {
	before := s.Limit(now)
	s.ramp = s.ramp.WithRestart(now)
	if after := s.Limit(now); after != before {
		s.Trail = s.Trail.With(now, "target "+s.Name, cause, fmt.Sprintf("limit %d", before), fmt.Sprintf("limit %d", after))
	}
	return s
}

// WithSlowSteps returns the state after steps of the target were too slow.
func (s State) WithSlowSteps(now time.Time) State {
	return s.WithRestart("the target's steps are as slow as a cold one's", now)
}

// WithReached returns the state after the target itself answered, or did not.
func (s State) WithReached(reached bool, now time.Time) State {
	if s.reached == reached {
		return s
	}
	s.reached = reached
	names := map[bool]string{true: "reached", false: "not reached"}
	s.Trail = s.Trail.With(now, "target "+s.Name, "probed by its agent", names[!reached], names[reached])
	if reached {
		return s.WithRestart("the target came back", now)
	}
	return s
}

// Reached reports whether the target itself answered lately.
func (s State) Reached() bool { return s.reached }

// SlowAfter returns the time between parts of an answer from which on the
// target seems cold, and false while that is not known.
func (s State) SlowAfter() (time.Duration, bool) {
	return s.ramp.SlowAfter()
}
