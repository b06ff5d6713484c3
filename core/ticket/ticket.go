// Package ticket defines the ticket of a request, which identifies the request
// and determines the only process that may run it.
//
// A ticket names one target and the incarnation of that target's agent. The
// request can run only there, even during a network partition and whatever the
// configuration is. An adapter encodes tickets for callers.
package ticket

import "time"

// Bounds on the expiry of a ticket.
const (
	// Lifetime is the longest time from minting a ticket to its expiry.
	Lifetime = 2 * time.Minute
	// MaxClockSkew is the largest assumed difference between the clocks of two instances.
	MaxClockSkew = 2 * time.Second
)

// Ticket identifies one request and the process that may run it.
type Ticket struct {
	ID          string // ID is unique among all tickets.
	Account     string
	Service     string
	Call        string
	Target      string
	Incarnation string    // Incarnation identifies the process of the target's agent.
	Expiry      time.Time // Expiry is the time from which the request may no longer start.
}

// New returns a ticket that is not bound to a target; WithTarget binds it.
func New(id, account, service, call string, expiry time.Time) Ticket {
	return Ticket{ID: id, Account: account, Service: service, Call: call, Expiry: expiry}
}

// WithTarget returns the ticket bound to one incarnation of one target's agent.
func (t Ticket) WithTarget(target, incarnation string) Ticket {
	t.Target, t.Incarnation = target, incarnation
	return t
}

// Expired reports whether the ticket's request may no longer start at time now.
func (t Ticket) Expired(now time.Time) bool {
	return !now.Before(t.Expiry)
}

// Plausible reports whether an entry instance whose clock differs by at most
// MaxClockSkew could have minted a ticket with this expiry by time now.
func (t Ticket) Plausible(now time.Time) bool {
	return !t.Expiry.After(now.Add(Lifetime + MaxClockSkew))
}
