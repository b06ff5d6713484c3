package retry

import (
	"testing"

	"hornbeamtray/core/ledger"
	"hornbeamtray/core/refusal"
)

func TestDecide(t *testing.T) {
	busy := refusal.New(refusal.Busy, refusal.No, "busy")
	gone := refusal.New(refusal.Gone, refusal.Unknown, "gone")
	failed := refusal.New(refusal.Failed, refusal.Unknown, "failed")
	tests := []struct {
		name    string
		attempt Attempt
		step    Step
		ran     refusal.Ran
	}{
		{"not sent", Attempt{End: NotSent, Sends: 1}, Elsewhere, refusal.No},
		{"not sent, caller has ticket", Attempt{End: NotSent, Sends: 1, CallerHasTicket: true}, Refuse, refusal.Unknown},
		{"not sent, sent before", Attempt{End: NotSent, Sends: 2}, Refuse, refusal.Unknown},
		{"busy", Attempt{End: Refused, Refusal: busy, Sends: 1}, Elsewhere, refusal.No},
		{"busy, caller has ticket", Attempt{End: Refused, Refusal: busy, Sends: 1, CallerHasTicket: true}, Refuse, refusal.No},
		{"gone", Attempt{End: Refused, Refusal: gone, Sends: 1}, Elsewhere, refusal.No},
		{"gone, caller has ticket", Attempt{End: Refused, Refusal: gone, Sends: 1, CallerHasTicket: true}, Refuse, refusal.Unknown},
		{"gone, sent before", Attempt{End: Refused, Refusal: gone, Sends: 2}, Refuse, refusal.Unknown},
		{"broken", Attempt{End: Broken, Sends: 1}, Resolve, refusal.Unknown},
		{"broken, idempotent", Attempt{End: Broken, Sends: 1, Idempotent: true}, Elsewhere, refusal.Unknown},
		{"broken, idempotent, partly delivered", Attempt{End: Broken, Sends: 1, Idempotent: true, Delivered: true}, Refuse, refusal.Unknown},
		{"broken, idempotent, partly delivered, resumable", Attempt{End: Broken, Sends: 1, Idempotent: true, Delivered: true, Resumes: true}, Elsewhere, refusal.Unknown},
		{"stopped, not idempotent, partly delivered, resumable", Attempt{End: Stopped, Refusal: failed, Sends: 1, Delivered: true, Resumes: true}, Refuse, refusal.Unknown},
		{"stopped", Attempt{End: Stopped, Refusal: failed, Sends: 1}, Refuse, refusal.Unknown},
		{"stopped, idempotent", Attempt{End: Stopped, Refusal: failed, Sends: 1, Idempotent: true}, Elsewhere, refusal.Unknown},
		{"abandoned by the caller", Attempt{End: Abandoned, Sends: 1, Idempotent: true}, Refuse, refusal.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next := Decide(tt.attempt)
			if next.Step != tt.step || next.Refusal.Ran != tt.ran {
				t.Errorf("Decide returned step %d, ran %q, want step %d, ran %q", next.Step, next.Refusal.Ran, tt.step, tt.ran)
			}
		})
	}
}

func TestAfterResolve(t *testing.T) {
	cut := refusal.New(refusal.Cut, refusal.Unknown, "cut")
	tests := []struct {
		name    string
		attempt Attempt
		stage   ledger.Stage
		step    Step
		ran     refusal.Ran
	}{
		{"voided", Attempt{Sends: 1}, ledger.Voided, Elsewhere, refusal.No},
		{"voided, caller has ticket", Attempt{Sends: 1, CallerHasTicket: true}, ledger.Voided, Refuse, refusal.No},
		{"started", Attempt{Sends: 1}, ledger.Started, Rejoin, refusal.Unknown},
		{"finished", Attempt{Sends: 1}, ledger.Finished, Rejoin, refusal.Unknown},
		{"no record", Attempt{Sends: 1}, ledger.Absent, Refuse, refusal.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next := AfterResolve(tt.attempt, tt.stage, cut)
			if next.Step != tt.step || next.Refusal.Ran != tt.ran {
				t.Errorf("AfterResolve returned step %d, ran %q, want step %d, ran %q", next.Step, next.Refusal.Ran, tt.step, tt.ran)
			}
		})
	}
}

// TestBudgetBoundsRetries fails every attempt. Retries must not exceed Reserve
// plus Ratio times the number of first attempts.
func TestBudgetBoundsRetries(t *testing.T) {
	var budget Budget
	retries := 0
	const firstAttempts = 10_000
	for range firstAttempts {
		budget = budget.WithFirstAttempt()
		for range 3 {
			var allowed bool
			if budget, allowed = budget.Take(); allowed {
				retries++
			}
		}
	}
	if limit := int(Reserve + Ratio*firstAttempts); retries > limit {
		t.Errorf("budget allowed %d retries for %d first attempts, want at most %d", retries, firstAttempts, limit)
	}
}
