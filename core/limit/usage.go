// Package limit decides whether a client account may have one more request.
//
// It knows rates and counts only; who the caller is and what a refusal looks
// like is decided elsewhere.
package limit

import (
	"time"

	"hornbeamtray/core/fleet"
)

// Usage is what one client account has used at one instance: a token bucket
// and a count of requests in flight. The zero value has a full bucket.
type Usage struct {
	InFlight int // Running is the number of requests in flight.

	spent float64 // tokens taken from a full bucket and not yet refilled
	at    time.Time
}

// Verdict says whether a request may go on, and if not, when to try again.
type Verdict struct {
	Allowed bool
	RetryAfter   time.Duration
}

// Share returns the part of an account's limits that one of several instances
// may give out. Each instance gives out at least one request at a time.
func Share(account fleet.Account, instances int) fleet.Account {
	n := max(1, instances)
	return account.
		WithRate(account.Rate/float64(n), max(1, account.Burst/n)).
		WithMaxConcurrent(max(1, (account.MaxConcurrent+n-1)/n))
}

// Take returns the usage with one more request, if the account's limits allow it.
func (u Usage) Take(account fleet.Account, now time.Time) (Usage, Verdict) {
	u = u.refilled(account.Rate, now)
	if u.InFlight >= account.MaxConcurrent {
		return u, Verdict{RetryAfter: time.Second}
	}
	if missing := u.spent + 1 - float64(account.Burst); missing > 0 {
		return u, Verdict{RetryAfter: time.Duration(missing / account.Rate * float64(time.Second))}
	}
	u.spent++
	u.InFlight++
	return u, Verdict{Allowed: true}
}

// Released returns the usage after a request ended.
func (u Usage) Released() Usage {
	u.InFlight = max(0, u.InFlight-1)
	return u
}

// Idle reports whether forgetting the usage at time now loses nothing.
func (u Usage) Idle(account fleet.Account, now time.Time) bool {
	return u.InFlight == 0 && u.refilled(account.Rate, now).spent == 0
}

func (u Usage) refilled(rate float64, now time.Time) Usage {
	if now.After(u.at) {
		u.spent = max(0, u.spent-rate*now.Sub(u.at).Seconds())
		u.at = now
	}
	return u
}
