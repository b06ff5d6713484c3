package dispatch

import (
	"time"

	"hornbeamtray/core/refusal"
)

// hold is why and until when a target gets no requests by what it said of itself.
type hold struct {
	pausedUntil time.Time // zero for no pause
	nextPermit  time.Time // zero if the target is not at its limit
}

func (h hold) until() time.Time {
	if h.nextPermit.After(h.pausedUntil) {
		return h.nextPermit
	}
	return h.pausedUntil
}

// holds returns the holds of all targets of a service that may get work, or none if one of
// them is not held.
func (s State) holds(service string, now time.Time) []hold {
	if s.statements.Len() == 0 {
		return nil
	}
	var list []hold
	serving := s.Roster.Serving(service, now)
	departing := s.departing(serving)
	for _, t := range serving {
		if departing[t.ID] {
			continue
		}
		known, h := s.statement(t), hold{}
		if now.Before(known.pausedUntil) {
			h.pausedUntil = known.pausedUntil
		}
		if known.limit.Named && now.Before(known.nextPermit) {
			h.nextPermit = known.nextPermit
		}
		if h.until().IsZero() {
			return nil
		}
		list = append(list, h)
	}
	return list
}

// Hopeless reports whether no target of the service can take a request in time: all asked
// for pauses that end after the given time, or are at their limits for longer than the
// request may wait for a permit.
func (s State) Hopeless(a Admission, until, now time.Time) bool {
	list := s.holds(a.Service, now)
	for _, h := range list {
		if !h.pausedUntil.After(until) && !h.nextPermit.After(a.WaitUntil) {
			return false
		}
	}
	return len(list) > 0
}

// heldRefusal returns the refusal of a request if all targets of its service are held.
func (s State) heldRefusal(a Admission, now time.Time) (refusal.Refusal, bool) {
	list := s.holds(a.Service, now)
	if len(list) == 0 {
		return refusal.Refusal{}, false
	}
	first, limited := list[0].until(), false
	for _, h := range list {
		limited = limited || !h.nextPermit.IsZero()
		if h.until().Before(first) {
			first = h.until()
		}
	}
	if !limited {
		return refusal.New(refusal.Busy, refusal.No, "all targets of the service asked for a pause; try again after it").WithRetry(first.Sub(now)), true
	}
	return a.AtLimits(first, now), true
}

// AtLimits returns the refusal of a request whose targets are at the limits that they
// name, the first of them until a given time; zero if that is not known. Callers who all
// returned at the next permit would be refused again.
func (a Admission) AtLimits(until, now time.Time) refusal.Refusal {
	retry := max(until.Sub(now), a.RetryAfter(now))
	return refusal.New(refusal.Busy, refusal.No, "the targets of the service are at the limits that they name; try again later").WithRetry(retry)
}
