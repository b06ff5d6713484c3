// Package refusal holds the one way in which the system says no: a stable kind,
// whether the request ran, whether and when to try again, and the remedy.
//
// It decides nothing; the packages that decide return its values, and adapters
// turn them into messages.
package refusal

import (
	"fmt"
	"time"
)

// Ran tells whether a refused request ran at a target.
type Ran string

// What is known about a refused request.
const (
	No      Ran = "no"      // No is proved: the request did not run and never will under this number.
	Yes     Ran = "yes"     // Yes means that the request ran, but its answer can't be given.
	Unknown Ran = "unknown" // Unknown means that there is no proof either way.
)

// Kind is a stable short name that callers may act on.
type Kind string

// The kinds of refusal.
const (
	Key       Kind = "key"       // The caller's key belongs to no client account.
	Malformed Kind = "malformed" // The request can't be understood.
	Oversized Kind = "oversized" // The request is larger than the bound.
	Service   Kind = "service"   // The service does not exist.
	Limit     Kind = "limit"     // The client account is over its limit.
	Busy      Kind = "busy"      // No target can bear the request now.
	Closing   Kind = "closing"   // The instance is shutting down.
	Leaving   Kind = "leaving"   // The target or its failure domain takes no new work.
	Expired   Kind = "expired"   // The ticket's expiry has passed.
	Gone      Kind = "gone"      // The ticket's incarnation no longer runs.
	Voided    Kind = "voided"    // The ticket was voided before the request started.
	Conflict  Kind = "conflict"  // The ticket was used with another request.
	Deadline  Kind = "deadline"  // The request's deadline passed.
	Cut       Kind = "cut"       // The connection to the target's agent was cut.
	Failed    Kind = "failed"    // The target failed while the request ran.
)

// IsTargetFault reports whether the kind speaks against the target that refused, rather
// than against the request or the target's load.
func (k Kind) IsTargetFault() bool {
	return k == Cut || k == Failed || k == Deadline
}

// Refusal says why a request was not answered. It is an error.
type Refusal struct {
	Kind   Kind
	Ran    Ran
	Retryable  bool          // Again is true where trying again can help.
	RetryAfter  time.Duration // After is the least time to wait before trying again.
	Remedy string        // Remedy tells the caller what to do, in a sentence.
}

// New returns a refusal that trying again does not help.
func New(kind Kind, ran Ran, remedy string) Refusal {
	return Refusal{Kind: kind, Ran: ran, Remedy: remedy}
}

// WithRetry returns the refusal with advice to try again after a time.
func (r Refusal) WithRetry(after time.Duration) Refusal {
	r.Retryable, r.RetryAfter = true, after
	return r
}

// WithRan returns the refusal with other knowledge about the run.
func (r Refusal) WithRan(ran Ran) Refusal {
	r.Ran = ran
	return r
}

// Error returns the refusal in one line.
func (r Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Kind, r.Ran, r.Remedy)
}
