// Package refusal defines the error that every refused request gets: a stable
// kind, whether the request ran, whether and when to retry, and a remedy.
//
// The package makes no decisions: the packages that refuse requests return its
// values, and adapters encode them as messages.
package refusal

import (
	"fmt"
	"time"
)

// Ran states whether a refused request ran at a target.
type Ran string

// The values of Ran.
const (
	No      Ran = "no"      // The request provably did not run and never will with the same ticket.
	Yes     Ran = "yes"     // The request ran, but its answer can't be returned.
	Unknown Ran = "unknown" // It is not known whether the request ran.
)

// Kind is a stable short name of the cause, which callers may act on.
type Kind string

// The kinds of refusal.
const (
	Key       Kind = "key"       // The caller's key belongs to no client account.
	Malformed Kind = "malformed" // The request or its ticket is invalid, or its body can't be read.
	Oversized Kind = "oversized" // The request or its answer exceeds the size limit.
	Stalled   Kind = "stalled"   // No part of the request's body arrived for too long.
	Service   Kind = "service"   // The service does not exist, or no route matches the request.
	Limit     Kind = "limit"     // The client account is over its limit.
	Busy      Kind = "busy"      // The instance, the target or all targets of the service lack capacity for the request now.
	Closing   Kind = "closing"   // The instance is shutting down, has no configuration yet or can't check keys now.
	Leaving   Kind = "leaving"   // The target accepts no new work or can't be reached, or its failure domain is evacuated.
	Expired   Kind = "expired"   // The ticket's expiry has passed.
	Gone      Kind = "gone"      // The process that held the ticket no longer runs, or its target is no longer configured.
	Voided    Kind = "voided"    // The ticket was voided before the request started.
	Conflict  Kind = "conflict"  // The ticket was used with another request or minted for another account, service or call.
	Deadline  Kind = "deadline"  // The request's deadline passed.
	Cut       Kind = "cut"       // The connection to the target, its agent or the caller failed, or the instance stopped.
	Failed    Kind = "failed"    // The target failed while the request ran.

	Quarantined Kind = "quarantined" // A part of the prompt is suspected of crashing the targets that answer it.
)

// IsTargetFault reports whether the kind indicates a fault of the target, rather
// than of the request or the target's load.
func (k Kind) IsTargetFault() bool {
	return k == Cut || k == Failed || k == Deadline
}

// Refusal is the error for a request that was not answered.
type Refusal struct {
	Kind       Kind
	Ran        Ran
	Retryable  bool          // Retryable reports whether a retry may succeed.
	RetryAfter time.Duration // RetryAfter is the minimum time to wait before a retry.
	Remedy     string        // Remedy advises the caller what to do.
}

// New returns a refusal that is not retryable.
func New(kind Kind, ran Ran, remedy string) Refusal {
	return Refusal{Kind: kind, Ran: ran, Remedy: remedy}
}

// WithRetry returns the refusal as retryable after the given time.
func (r Refusal) WithRetry(after time.Duration) Refusal {
	r.Retryable, r.RetryAfter = true, after
	return r
}

// WithRan returns the refusal with ran in place of its Ran.
func (r Refusal) WithRan(ran Ran) Refusal {
	r.Ran = ran
	return r
}

// Error returns the refusal in one line.
func (r Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Kind, r.Ran, r.Remedy)
}
