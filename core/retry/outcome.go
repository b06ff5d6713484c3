// Package retry decides what to do after an attempt that returned no complete
// answer: retry at another target, ask the agent that the ticket names to void
// it, send the same ticket again, or refuse the request and state truthfully
// whether it ran.
//
// The package only decides; callers send messages and wait for the backoff.
package retry

import (
	"time"

	"hornbeamtray/core/ledger"
	"hornbeamtray/core/refusal"
)

// Bounds of the backoff: each wait is drawn uniformly between zero and a bound
// that doubles from firstBackoff to maxBackoff.
const (
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = time.Second
)

// End is how an attempt ended without a complete answer.
type End int

// The ends of an attempt.
const (
	NotSent   End = iota // NotSent: no byte of the request was sent.
	Refused              // Refused: the agent refused the request and started nothing.
	Broken               // Broken: the connection failed after the request was sent, or the answer that arrived is not whole.
	Stopped              // Stopped: the agent reported that the run ended without a complete answer.
	Abandoned            // Abandoned: the caller disconnected or stopped reading for too long.
)

// Attempt describes an attempt that ended without a complete answer.
type Attempt struct {
	End             End
	Refusal         refusal.Refusal // Refusal is the agent's, set if End is Refused or Stopped.
	Idempotent      bool            // Idempotent: running the request twice does no harm.
	Resumes         bool            // Resumes: another run can continue the answer from an offset.
	Delivered       bool            // Delivered: the caller may have received part of the answer.
	CallerHasTicket bool            // CallerHasTicket: the caller has the ticket and may have sent it through another instance.
	Sends           int             // Sends is the number of times that this instance sent the ticket.
}

// soleUse reports whether no other attempt can have used the ticket. If so, a
// request that did not start in this attempt did not run at all.
func (a Attempt) soleUse() bool { return !a.CallerHasTicket && a.Sends <= 1 }

// Step is the action that follows an attempt.
type Step int

// The steps.
const (
	Elsewhere Step = iota // Elsewhere: retry at another target; the request did not run or may run again.
	Resolve               // Resolve: ask the agent that the ticket names to void it.
	Rejoin                // Rejoin: send the same ticket again to receive the answer of the existing run.
	Refuse                // Refuse: refuse the request with Next.Refusal.
)

// Next is a step, with the refusal to return to the caller if no attempt follows.
type Next struct {
	Step    Step
	Refusal refusal.Refusal
}

// ExemptFromBudget reports whether a retry needs no retry budget, because the
// agent refused the request before it reached the target.
func (n Next) ExemptFromBudget() bool {
	return n.Refusal.Ran == refusal.No && (n.Refusal.Kind == refusal.Busy || n.Refusal.Kind == refusal.Leaving)
}

// Decide returns the next step after an attempt.
func Decide(a Attempt) Next {
	switch a.End {
	case NotSent:
		ran := refusal.Unknown
		if a.soleUse() {
			ran = refusal.No
		}
		return retryOrRefuse(a, refusal.New(refusal.Cut, ran, "the target's agent can't be reached; try again").WithRetry(firstBackoff))
	case Refused:
		r := a.Refusal
		if a.soleUse() {
			r = r.WithRan(refusal.No)
		}
		return retryOrRefuse(a, r)
	case Broken:
		r := refusal.New(refusal.Cut, refusal.Unknown, "the connection to the target was cut; repeat with the same ticket to learn the outcome")
		if a.Idempotent {
			return retryOrRefuse(a, r)
		}
		return Next{Step: Resolve, Refusal: r}
	case Abandoned:
		return Next{Step: Refuse, Refusal: refusal.New(refusal.Cut, refusal.Unknown, "the caller stopped reading; repeat with the same ticket")}
	default:
		return retryOrRefuse(a, a.Refusal)
	}
}

// AfterResolve returns the next step after a Resolve. The stage is the one that
// the agent returned; Absent means that the agent has no record of the ticket and
// could not void it.
func AfterResolve(a Attempt, stage ledger.Stage, r refusal.Refusal) Next {
	switch stage {
	case ledger.Voided:
		return retryOrRefuse(a, r.WithRan(refusal.No))
	case ledger.Started, ledger.Finished:
		return Next{Step: Rejoin, Refusal: r}
	default:
		return Next{Step: Refuse, Refusal: r}
	}
}

// retryOrRefuse retries only if the request provably did not run and the caller
// does not have the ticket, or if the request is idempotent. Once the caller may
// have received part of an answer, it retries only an idempotent request whose
// answer another run can continue.
func retryOrRefuse(a Attempt, r refusal.Refusal) Next {
	if a.Delivered && !(a.Idempotent && a.Resumes) {
		return Next{Step: Refuse, Refusal: r}
	}
	if !a.CallerHasTicket && r.Ran == refusal.No || a.Idempotent {
		return Next{Step: Elsewhere, Refusal: r}
	}
	return Next{Step: Refuse, Refusal: r}
}

// MoreCautious returns the more cautious of two statements on whether a request
// ran: Yes before Unknown before No.
func MoreCautious(a, b refusal.Ran) refusal.Ran {
	if caution(a) > caution(b) {
		return a
	}
	return b
}

func caution(r refusal.Ran) int {
	switch r {
	case refusal.Yes:
		return 2
	case refusal.Unknown:
		return 1
	default:
		return 0
	}
}

// Backoff returns the wait before retry number n, counted from 1. The jitter is
// a uniform random number in [0, 1).
func Backoff(n int, jitter float64) time.Duration {
	bound := firstBackoff << min(n-1, 10)
	return time.Duration(jitter * float64(min(bound, maxBackoff)))
}
