package dispatch

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"hornbeamtray/core/roster"
)

// Any target may be cold before anyone says so, so the bound on the requests to a cold target
// holds for all targets of a service with a cold rate. Gateways heed it without asking one
// another: each target orders the gateways, see placesOf, and the requests that all of them may
// send it within coldWindow are dealt out in that order, one at a time, until none is left.
//
// The shares at a target add up to what is dealt if all gateways know each other. A gateway that
// knows a part of the others divides by their number, and so takes the inverse of that part times
// its share, on average over the targets. coldFraction leaves room for that.
const (
	coldWindow   = time.Second     // sliding window of the bound; see Bounds
	coldFraction = 0.6             // of the bound is dealt out, which holds it while each gateway knows three quarters of all
	minGateways  = 8               // the bound is divided among at least this many gateways
	mostGateways = 300             // and among this many by a gateway that has just started and met no other
	settleTime   = 5 * time.Second // after its start a gateway that has met no other counts as alone: those that its settings name don't run

	// SendTimeout is the time from the choice of a target to the writing of the request. It is
	// below coldWindow, so that the send counts all the while, and above the time to connect.
	SendTimeout = 800 * time.Millisecond
)

// WithGateways returns the state after this gateway has heard of others, by their addresses.
func (s State) WithGateways(addresses []string, now time.Time) State {
	before, changed := s, false
	if s.gateways, changed = s.gateways.with(addresses, now); changed {
		s = s.withPlaces()
	}
	return s.recordColdShares(before, now)
}

// withPlaces returns the state with the places of this gateway in the orders of all targets that
// may be cold.
func (s State) withPlaces() State {
	s.places = nil
	if s.gateways.own == "" {
		return s
	}
	targets := map[string][]string{} // by service
	for _, t := range s.Roster.Targets() {
		if s.Bounded(t.Service) {
			targets[t.Service] = append(targets[t.Service], t.ID)
		}
	}
	s.places = map[string]int{}
	gateways := s.gateways.all()
	for service, ids := range targets {
		for id, place := range placesOf(s.gateways.own, gateways, ids, s.coldShares(service).dealt) {
			s.places[id] = place
		}
	}
	return s
}

// withTargetPlaces returns the state with the places after the targets changed.
func (s State) withTargetPlaces() State {
	known := 0
	for _, t := range s.Roster.Targets() {
		if _, found := s.places[t.ID]; found {
			known++
		} else if s.Bounded(t.Service) {
			return s.withPlaces()
		}
	}
	if known < len(s.places) {
		return s.withPlaces()
	}
	return s
}

// recordColdShares returns the state with an entry in the trail for each service whose
// bound on cold targets is divided differently than in the state before.
func (s State) recordColdShares(before State, now time.Time) State {
	if s.countGateways() == before.countGateways() && s.metNone() == before.metNone() && s.Book.Version == before.Book.Version {
		return s
	}
	cause := strconv.Itoa(s.countGateways()) + " gateways are known"
	if s.Book.Version != before.Book.Version {
		cause = "the configuration changed"
	}
	for _, service := range s.Book.Services() {
		if from, to := before.coldShares(service.Name).String(), s.coldShares(service.Name).String(); from != to {
			s.Trail = s.Trail.With(now, "share of cold targets of service "+service.Name, cause, from, to)
		}
	}
	return s
}

// countGateways returns the number of gateways that this one has heard of, with itself.
func (s State) countGateways() int { return max(s.gateways.count(), s.peers.count()) + 1 }

// metNone reports whether this gateway has heard of others but met none yet.
func (s State) metNone() bool { return s.gateways.count() > 0 && s.peers.count() == 0 }

// unsettled reports whether this gateway has just started and may not know yet beside how many
// others.
func (s State) unsettled(now time.Time) bool {
	return s.metNone() && now.Before(s.startedAt.Add(settleTime))
}

// coldShares is how the bound on the requests to a cold target of a service is divided.
type coldShares struct {
	bounded bool // false if the service has no such bound
	dealt   int  // requests within coldWindow, of all gateways together
	divisor int  // the number of gateways
}

// coldShares returns how the bound on the requests to a cold target of a service is divided.
func (s State) coldShares(service string) coldShares {
	known, found := s.Book.Service(service)
	if !found || known.ColdRate <= 0 {
		return coldShares{}
	}
	dealt := max(1, int(coldFraction*(known.ColdRate*s.bounds.ColdOvershoot+s.bounds.ColdSlack)))
	return coldShares{bounded: true, dealt: dealt, divisor: max(minGateways, s.countGateways())}
}

// String returns the shares as they are logged.
func (c coldShares) String() string {
	if !c.bounded {
		return "no bound"
	}
	return fmt.Sprintf("%d requests a second among %d gateways", c.dealt, c.divisor)
}

// holders returns how many gateways have a share.
func (c coldShares) holders() int { return min(c.dealt, c.divisor) }

// of returns the share of the gateway at a place in a target's order.
func (c coldShares) of(place int) int {
	share := c.dealt / c.divisor
	if place < c.dealt%c.divisor {
		share++
	}
	return share
}

// coldShare returns how many requests this gateway may send a target within coldWindow, and
// whether there is such a bound.
func (s State) coldShare(t roster.Target, now time.Time) (share int, bounded bool) {
	shares := s.coldShares(t.Service)
	switch {
	case !shares.bounded:
		return 0, false
	case s.unsettled(now):
		shares.divisor = mostGateways
		return shares.of(likelyPlace(s.gateways.own, t.ID, mostGateways)), true
	}
	return shares.of(s.places[t.ID]), true
}

// withShare returns those of a service's targets that this gateway may send requests to.
func (s State) withShare(targets []roster.Target, now time.Time) []roster.Target {
	return slices.DeleteFunc(slices.Clone(targets), func(t roster.Target) bool {
		share, bounded := s.coldShare(t, now)
		return bounded && share == 0
	})
}

// coldRoom returns how many more requests this gateway may send a target now.
func (s State) coldRoom(t roster.Target, now time.Time) int {
	share, bounded := s.coldShare(t, now)
	switch {
	case !bounded:
		return math.MaxInt
	case now.Before(s.coldHold()):
		return 0
	}
	return share - len(recentSends(s.View(t.ID).sends, now))
}

// coldUntil returns when a target of which this gateway has a share may get the next request, or
// the zero time if it may now.
func (s State) coldUntil(t roster.Target, now time.Time) time.Time {
	share, bounded := s.coldShare(t, now)
	if !bounded {
		return time.Time{}
	}
	until := time.Time{}
	if recent := recentSends(s.View(t.ID).sends, now); len(recent) >= max(1, share) {
		until = recent[len(recent)-max(1, share)].Add(coldWindow)
	}
	if hold := s.coldHold(); hold.After(until) {
		return hold
	}
	return until
}

// coldHold returns until when the gateway sends nothing to targets of services with a cold rate.
// What the process before it sent counts for coldWindow, and it doesn't know what that was.
func (s State) coldHold() time.Time { return s.startedAt.Add(coldWindow) }

// holds reports whether the gateway sends nothing yet to targets that may be cold.
func (s State) holds(now time.Time) bool {
	return now.Before(s.coldHold()) && slices.ContainsFunc(s.Roster.Targets(), func(t roster.Target) bool { return s.Bounded(t.Service) })
}

// Bounded reports whether the bound on cold targets holds for a service. A request for it is
// written within SendTimeout after the choice of its target, or not sent there.
func (s State) Bounded(service string) bool { return s.coldShares(service).bounded }

// WithSent returns the state after a request was written to the target that was chosen for it at a
// time. Until then the send counts from the choice, and from now on from the writing.
func (s State) WithSent(id string, chosenAt, now time.Time) State {
	view, found := s.views.Get(id)
	if !found {
		return s
	}
	recent := recentSends(view.sends, now)
	if i := slices.IndexFunc(recent, chosenAt.Equal); i >= 0 {
		recent = slices.Delete(slices.Clone(recent), i, i+1)
	}
	view.sends = append(slices.Clip(recent), now)
	s.views = s.views.Set(id, view)
	return s
}

// recentSends returns the sends within coldWindow, of sends in order of time. Appending to
// them makes a copy.
func recentSends(sends []time.Time, now time.Time) []time.Time {
	first := len(sends)
	for first > 0 && now.Sub(sends[first-1]) <= coldWindow {
		first--
	}
	return slices.Clip(sends[first:])
}
