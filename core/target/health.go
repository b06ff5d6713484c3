package target

import (
	"fmt"
	"time"
)

// WithRestart returns the state after the target restarted, or showed signs of a
// restart. Its limit falls back to that of a cold target and ramps up again.
func (s State) WithRestart(cause string, now time.Time) State {
	before := s.Limit(now)
	s.ramp = s.ramp.WithRestart(now)
	if after := s.Limit(now); after != before {
		s.Trail = s.Trail.With(now, "target "+s.Name, cause, fmt.Sprintf("limit %d", before), fmt.Sprintf("limit %d", after))
	}
	return s
}

// WithSlowSteps returns the state after parts of an answer arrived further apart
// than SlowAfter, a sign that the target is cold.
func (s State) WithSlowSteps(now time.Time) State {
	return s.WithRestart("the target's steps are as slow as those of a cold target", now)
}

// WithReached returns the state after the agent probed its target; reached is
// whether the target answered.
func (s State) WithReached(reached bool, now time.Time) State {
	if s.reached == reached {
		return s
	}
	s.reached = reached
	names := map[bool]string{true: "reached", false: "not reached"}
	s.Trail = s.Trail.With(now, "target "+s.Name, "probed by its agent", names[!reached], names[reached])
	if reached {
		return s.WithRestart("the target is reachable again", now)
	}
	return s
}

// Reached reports whether the target answered the agent's latest probe. It is
// true before the first probe.
func (s State) Reached() bool { return s.reached }

// SlowAfter returns the time between parts of an answer above which the target is
// considered cold. It returns false while there are too few samples to know it.
func (s State) SlowAfter() (time.Duration, bool) {
	return s.ramp.SlowThreshold()
}
