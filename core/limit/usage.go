// Package limit decides whether a client account may start one more request.
//
// It handles rates and counts only; other packages identify the caller and create
// the refusal.
package limit

import (
	"time"

	"hornbeamtray/core/fleet"
)

// Usage is the usage of one client account at one instance: a token bucket and
// a count of requests in flight. The zero value has a full bucket.
type Usage struct {
	InFlight int // InFlight is the number of requests in flight.

	used       float64 // tokens taken and not yet refilled
	refilledAt time.Time
}

// Verdict states whether a request is allowed and, if not, how long to wait before
// a retry.
type Verdict struct {
	Allowed    bool
	RetryAfter time.Duration
}

// Share returns the account with its limits divided by the number of instances.
// The burst and the number of concurrent requests are at least 1 per instance.
func Share(account fleet.Account, instances int) fleet.Account {
	n := max(1, instances)
	return account.
		WithRate(account.Rate/float64(n), max(1, account.Burst/n)).
		WithMaxConcurrent(max(1, (account.MaxConcurrent+n-1)/n))
}

// Take counts one more request if the account's limits allow it.
func (u Usage) Take(account fleet.Account, now time.Time) (Usage, Verdict) {
	u = u.refilled(account.Rate, now)
	if u.InFlight >= account.MaxConcurrent {
		return u, Verdict{RetryAfter: time.Second}
	}
	if deficit := u.used + 1 - float64(account.Burst); deficit > 0 {
		return u, Verdict{RetryAfter: time.Duration(deficit / account.Rate * float64(time.Second))}
	}
	u.used++
	u.InFlight++
	return u, Verdict{Allowed: true}
}

// Released returns the usage with one request fewer in flight.
func (u Usage) Released() Usage {
	u.InFlight = max(0, u.InFlight-1)
	return u
}

// Idle reports whether the account has no request in flight and a full bucket at
// time now, so that the usage can be discarded.
func (u Usage) Idle(account fleet.Account, now time.Time) bool {
	return u.InFlight == 0 && u.refilled(account.Rate, now).used == 0
}

func (u Usage) refilled(rate float64, now time.Time) Usage {
	if now.After(u.refilledAt) {
		u.used = max(0, u.used-rate*now.Sub(u.refilledAt).Seconds())
		u.refilledAt = now
	}
	return u
}
