package target

import (
	"time"

	"hornbeamtray/core/ticket"
)

// failuresBeforeRestart is how many failed requests in a row tell of a cold target.
const failuresBeforeRestart = 2

// RunResult is what a run came to.
type RunResult struct {
	Ticket   ticket.Ticket
	Bytes    int64         // Bytes are kept of the answer.
	MeanStep time.Duration // Step is the usual time between parts; 0 where there is none to tell.
	Broken   bool          // Broken: the target cut the connection.
	Failed   bool          // Failed: the target answered that it failed.
}

// End records that a started request has its outcome.
func (s State) End(result RunResult, now time.Time) State {
	s.Running = max(0, s.Running-1)
	s.Ledger = s.Ledger.WithFinished(result.Ticket.ID, result.Bytes)
	s.shares = s.shares.Ended(result.Ticket.Account)
	if result.MeanStep > 0 {
		s.ramp = s.ramp.WithStep(result.MeanStep)
	}
	if result.Broken {
		return s.WithRestart("the target cut a connection", now)
	}
	if !result.Failed {
		s.failed = 0
		return s
	}
	s.failed++
	if s.failed < failuresBeforeRestart {
		return s
	}
	return s.WithRestart("the target failed requests in a row", now)
}

// Pause records that a run let its target go because its reader is slow.
func (s State) Pause(account string) State {
	s.Running = max(0, s.Running-1)
	s.shares = s.shares.Ended(account)
	return s
}

// ForceResume counts a paused run as running again, whatever the limit, because it
// is about to end.
func (s State) ForceResume(account string) State {
	s.Running++
	s.shares = s.shares.Started(account)
	return s
}

// Resume decides whether a paused run may go back to the target.
func (s State) Resume(account string, now time.Time) (State, bool) {
	s.Ledger = s.Ledger.WithTime(now)
	if s.Running >= s.Limit(now) {
		return s, false
	}
	s.Running++
	s.shares = s.shares.Started(account)
	return s, true
}
