package serve

import (
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
)

// recordStatements records what a target says of itself in the head of an answer. If
// another process answered, the head says nothing of the target.
func (s *Service) recordStatements(target roster.Target, head Head) {
	if head.Replaced {
		return
	}
	if head.InvalidPause != "" {
		s.meter.Inc("statements", "pause ignored")
	}
	s.recordLimit(target, head)
	if head.Leaving {
		s.meter.Inc("statements", "leaving")
		s.Change(func(state dispatch.State, now time.Time) dispatch.State { return state.WithLeaving(target, now) })
	}
	switch {
	case head.Pause > 0:
		s.meter.Inc("statements", "pause")
		s.Change(func(state dispatch.State, now time.Time) dispatch.State {
			return state.WithPause(target, head.Pause, now)
		})
	case s.State().AwaitsTrial(target):
		s.Change(func(state dispatch.State, now time.Time) dispatch.State {
			s.capacityFreed.Raise()
			return state.WithPauseOver(target, now)
		})
	}
}

// recordLimit records the limit that a target names in the head of an answer, or that its
// answers no longer name one. Only an answer that is surely the target's withdraws a limit.
func (s *Service) recordLimit(target roster.Target, head Head) {
	switch {
	case head.Limited:
		s.meter.Inc("statements", "limit")
		s.Change(func(state dispatch.State, now time.Time) dispatch.State {
			return state.WithLimit(target, head.Limit, now)
		})
	case head.InvalidLimit != "":
		s.meter.Inc("statements", "limit ignored")
		s.journal.Event("unreadable limit", "target", target.ID, "limit", head.InvalidLimit)
	case (head.Signed || head.NotRun) && s.State().Limit(target).Known():
		s.Change(func(state dispatch.State, now time.Time) dispatch.State { return state.WithoutLimit(target, now) })
	}
}
