package target

import (
	"time"

	"hornbeamtray/core/ticket"
)

// failuresBeforeRestart is the number of consecutive failed requests after which
// the agent treats the target as restarted.
const failuresBeforeRestart = 2

// RunResult describes a run that ended.
type RunResult struct {
	Ticket   ticket.Ticket
	Bytes    int64         // Bytes is the number of answer bytes that the agent stores.
	MeanStep time.Duration // MeanStep is the mean time between parts of the answer; 0 if there were no parts.
	Broken   bool          // Broken: the call to the target failed, other than by cancellation, deadline or the bound on the answer.
	Failed   bool          // Failed: the target answered with a server error.
}

// End returns the state after a run ended. The ramp-up of the target's limit
// restarts after a broken call or failuresBeforeRestart consecutive failures.
func (s State) End(result RunResult, now time.Time) State {
	s.Running = max(0, s.Running-1)
	s.Ledger = s.Ledger.WithFinished(result.Ticket.ID, result.Bytes)
	s.shares = s.shares.WithEnd(result.Ticket.Account)
	if result.MeanStep > 0 {
		s.ramp = s.ramp.WithInterval(result.MeanStep)
	}
	if result.Broken {
		return s.WithRestart("a call to the target failed", now)
	}
	if !result.Failed {
		s.failed = 0
		return s
	}
	s.failed++
	if s.failed < failuresBeforeRestart {
		return s
	}
	return s.WithRestart("the target failed consecutive requests", now)
}

// Pause returns the state after a run disconnected from the target because its
// reader is slow. The run no longer counts as running.
func (s State) Pause(account string) State {
	s.Running = max(0, s.Running-1)
	s.shares = s.shares.WithEnd(account)
	return s
}

// ForceResume counts a paused run as running again, regardless of the limit. It is
// called for a paused run that is about to end, since End expects a running one.
func (s State) ForceResume(account string) State {
	s.Running++
	s.shares = s.shares.WithStart(account)
	return s
}

// Resume counts a paused run as running again and returns true, or returns false
// if the target is at its limit.
func (s State) Resume(account string, now time.Time) (State, bool) {
	s.Ledger = s.Ledger.WithTime(now)
	if s.Running >= s.Limit(now) {
		return s, false
	}
	s.Running++
	s.shares = s.shares.WithStart(account)
	return s, true
}
