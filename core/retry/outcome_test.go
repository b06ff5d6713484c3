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
		{"not sent, ticket shown", Attempt{End: NotSent, Sends: 1, Shown: true}, Give, refusal.Unknown},
		{"not sent, sent before", Attempt{End: NotSent, Sends: 2}, Give, refusal.Unknown},
		{"busy", Attempt{End: Refused, Refusal: busy, Sends: 1}, Elsewhere, refusal.No},
		{"busy, ticket shown", Attempt{End: Refused, Refusal: busy, Sends: 1, Shown: true}, Give, refusal.No},
		{"gone", Attempt{End: Refused, Refusal: gone, Sends: 1}, Elsewhere, refusal.No},
		{"gone, ticket shown", Attempt{End: Refused, Refusal: gone, Sends: 1, Shown: true}, Give, refusal.Unknown},
		{"gone, sent before", Attempt{End: Refused, Refusal: gone, Sends: 2}, Give, refusal.Unknown},
		{"broken", Attempt{End: Broken, Sends: 1}, Resolve, refusal.Unknown},
		{"broken, idempotent", Attempt{End: Broken, Sends: 1, Idempotent: true}, Elsewhere, refusal.Unknown},
		{"broken, idempotent, begun", Attempt{End: Broken, Sends: 1, Idempotent: true, Delivered: true}, Give, refusal.Unknown},
		{"broken, resumed elsewhere", Attempt{End: Broken, Sends: 1, Idempotent: true, Delivered: true, Resumes: true}, Elsewhere, refusal.Unknown},
		{"broken, not to be resumed", Attempt{End: Stopped, Refusal: failed, Sends: 1, Delivered: true, Resumes: true}, Give, refusal.Unknown},
		{"stopped", Attempt{End: Stopped, Refusal: failed, Sends: 1}, Give, refusal.Unknown},
		{"stopped, idempotent", Attempt{End: Stopped, Refusal: failed, Sends: 1, Idempotent: true}, Elsewhere, refusal.Unknown},
		{"caller left", Attempt{End: Abandoned, Sends: 1, Idempotent: true}, Give, refusal.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next := Decide(tt.attempt)
			if next.Step != tt.step || next.Refusal.Ran != tt.ran {
				t.Errorf("step %d ran %q, want %d %q", next.Step, next.Refusal.Ran, tt.step, tt.ran)
			}
		})
	}
}

func TestResolved(t *testing.T) {
	cut := refusal.New(refusal.Cut, refusal.Unknown, "cut")
	tests := []struct {
		name    string
		attempt Attempt
		stage   ledger.Stage
		step    Step
		ran     refusal.Ran
	}{
		{"voided", Attempt{Sends: 1}, ledger.Voided, Elsewhere, refusal.No},
		{"voided, ticket shown", Attempt{Sends: 1, Shown: true}, ledger.Voided, Give, refusal.No},
		{"started", Attempt{Sends: 1}, ledger.Started, Rejoin, refusal.Unknown},
		{"finished", Attempt{Sends: 1}, ledger.Finished, Rejoin, refusal.Unknown},
		{"nothing known", Attempt{Sends: 1}, ledger.Absent, Give, refusal.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next := Resolved(tt.attempt, tt.stage, cut)
			if next.Step != tt.step || next.Refusal.Ran != tt.ran {
				t.Errorf("step %d ran %q, want %d %q", next.Step, next.Refusal.Ran, tt.step, tt.ran)
			}
		})
	}
}

// TestBudgetBoundsRetries has every request fail: retries stay below the
// reserve and the share of first attempts.
func TestBudgetBoundsRetries(t *testing.T) {
	var budget Budget
	retries := 0
	const firsts = 10_000
	for range firsts {
		budget = budget.WithFirstAttempt()
		for range 3 {
			var allowed bool
			if budget, allowed = budget.Take(); allowed {
				retries++
			}
		}
	}
	if most := int(Reserve + Share*firsts); retries > most {
		t.Errorf("%d retries of %d first attempts, want at most %d", retries, firsts, most)
	}
}
