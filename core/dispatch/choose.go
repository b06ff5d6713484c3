package dispatch

import (
	"maps"
	"slices"
	"time"

	"hornbeamtray/core/eject"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/routing"
)

const (
	maxQueued     = 2 // requests that may queue at a target, so that it has work until the gateways learn of a free slot
	coldPenalty   = 2 // requests added to the load of a cold target
	remotePenalty = 1 // requests added to the load of a target in another failure domain than the gateway's

	replacedTimeout = 5 * time.Second // the entry of a process that crashed is removed after three beats, 3.6 s

	// A target may be hung that does not begin its answer within the time in which targets
	// of its service usually do. The bounds are those of RFC 6298 and of its usual
	// implementations for round trips.
	unknownSilence = time.Second // while it is not known how long they take
	minSilence     = 200 * time.Millisecond

	silentReportAge  = 500 * time.Millisecond  // at which a peer's report of silent targets says nothing any more; peers greet every 400 ms
	silentProbeAfter = 3500 * time.Millisecond // time since the unanswered send after which the target is tried again
	silentPenalty    = 1000                    // requests added to the load of a silent target, which makes it the last choice
)

// View is a gateway's view of one target, from its own requests.
type View struct {
	InFlight        int // InFlight counts this gateway's requests at the target.
	Attempts        eject.Record
	begun           []time.Time // sends of as many requests as are in flight, the latest ones; never written after construction
	sends           []time.Time // sends within coldWindow, by when they were chosen or, if that is known, written; in order of time; never written after construction
	replacedAt      time.Time   // when another process last answered at the target's address; zero for never
	unansweredSince time.Time   // first send since the latest response, or a later retry of a silent target; zero after a response
}

// View returns the gateway's view of a target, or the zero View if it has none.
func (s State) View(id string) View {
	view, _ := s.views.Get(id)
	return view
}

// Loads returns the number of this gateway's requests in flight, by target.
func (s State) Loads() map[string]int {
	loads := map[string]int{}
	for i := s.views.Iterator(); !i.Done(); {
		id, view, _ := i.Next()
		if view.InFlight > 0 {
			loads[id] = view.InFlight
		}
	}
	return loads
}

// Choose picks the least loaded target for an admitted request, among those that
// were not tried yet, and counts the request as in flight there. A lost group, see
// WithGroupLost, gets a request only if no other group can take it and the probe
// interval is over. A request of which a part is quarantined gets no target.
func (s State) Choose(a Admission, tried []string, random routing.Random, now time.Time) (State, roster.Target, *refusal.Refusal) {
	if r := s.quarantineRefusal(a.Parts, now); r != nil {
		return s, roster.Target{}, r
	}
	s.peers = s.peers.withoutOutdated(now)
	c := s.candidates(a, tried, now)
	chosen, found := c.permitted(a.Permit)
	if !found && s.precedes(a, c) >= c.room {
		return s, roster.Target{}, refused(refusal.New(refusal.Busy, refusal.No, "no target of the service has room for the request now; try again"))
	}
	if !found {
		chosen, found = s.choose(c.free, random)
	}
	if !found {
		chosen, found = routing.LeastLoaded(c.probes, random)
	}
	if !found {
		chosen = c.next
	}
	if slices.Contains(c.probes, chosen) {
		s = s.withProbe(chosen.Target, now)
	}
	t, _ := s.Roster.Target(chosen.Target)
	s = s.withTrial(t, now)
	if s.queue.Len() > 0 {
		place := a.Place
		if !place.Waits() {
			place = s.queue.Next(a.Service, a.Priority)
		}
		s.queue = s.queue.WithTaken(place, a.Account)
	}
	if s.idle.Len() > 0 {
		s = s.withIdle(a.Service, false, now)
	}
	view := s.View(t.ID)
	view.InFlight++
	view.begun = append(slices.Clone(view.begun), now)
	if now.Sub(view.unansweredSince) > silentProbeAfter {
		view.unansweredSince = now
	}
	view.sends = append(recentSends(view.sends, now), now)
	s.views = s.views.Set(t.ID, view)
	s.quarantine = s.quarantine.WithSend(a.Parts, now)
	return s, t, nil
}

// candidates are the targets that can take a request.
type candidates struct {
	free       []routing.Candidate
	probes     []routing.Candidate // of lost groups that are due for a probe
	next       routing.Candidate   // of the targets at their limits whose turn comes within permitLead, the first; none if nextPermit is zero
	nextPermit time.Time
	room       int // requests that the candidates can take now
}

// all returns the IDs of the candidates.
func (c candidates) all() []string {
	var ids []string
	for _, candidate := range slices.Concat(c.free, c.probes) {
		ids = append(ids, candidate.Target)
	}
	if !c.nextPermit.IsZero() {
		ids = append(ids, c.next.Target)
	}
	return ids
}

// permitted returns the candidate for which a request has a permit.
func (c candidates) permitted(permit string) (routing.Candidate, bool) {
	for _, list := range [][]routing.Candidate{c.free, c.probes} {
		for _, candidate := range list {
			if candidate.Target == permit {
				return candidate, true
			}
		}
	}
	return routing.Candidate{}, false
}

// candidates returns the targets that can take a request.
func (s State) candidates(a Admission, tried []string, now time.Time) candidates {
	var found candidates
	serving, silent, triedGroups := s.Roster.Serving(a.Service, now), s.silentTargets(now), s.groupsOf(tried)
	departing := s.departing(serving)
	for _, t := range serving {
		if departing[t.ID] || !s.pausedUntil(t, now).IsZero() {
			continue
		}
		if slices.Contains(tried, t.ID) || s.View(t.ID).Attempts.Ejected(now) || s.View(t.ID).replaced(now) {
			continue
		}
		load, group := s.loadOf(t, now), s.group(t)
		room := min(maxLoad(t)-load, s.coldRoom(t, now))
		if room <= 0 {
			continue
		}
		if t.Domain != s.Domain {
			load += remotePenalty
		}
		if silent[t.ID] {
			load += silentPenalty
		}
		if now.Before(t.ColdUntil) {
			load += coldPenalty
		}
		if triedGroups[group] {
			load += siblingPenalty
		}
		if s.forming(t) {
			load += formingPenalty
		}
		candidate := routing.Candidate{Target: t.ID, Load: load, Limit: max(1, t.Slots)}
		nextProbe, lost := s.groups.nextProbes[group]
		switch until := s.needsPermitUntil(a, t, now); {
		case !until.IsZero():
			if !lost && !until.After(now.Add(permitLead)) {
				found.room++
				if found.nextPermit.IsZero() || until.Before(found.nextPermit) {
					found.next, found.nextPermit = candidate, until
				}
			}
		case !lost:
			found.room += room
			found.free = append(found.free, candidate)
		case !now.Before(nextProbe):
			found.room++
			found.probes = append(found.probes, candidate)
		}
	}
	return found
}

// groupsOf returns the groups of ranks to which targets belong.
func (s State) groupsOf(targets []string) map[GroupID]bool {
	found := map[GroupID]bool{}
	for _, id := range targets {
		if t, listed := s.Roster.Target(id); listed && s.group(t).Name != "" {
			found[s.group(t)] = true
		}
	}
	return found
}

// withProbe returns the state after a request was sent to a target of a lost group.
func (s State) withProbe(id string, now time.Time) State {
	t, _ := s.Roster.Target(id)
	nextProbes := maps.Clone(s.groups.nextProbes)
	nextProbes[s.group(t)] = now.Add(s.probeInterval())
	s.groups.nextProbes = nextProbes
	return s
}

// silentTargets returns the targets that are silent to this gateway or, by a
// report at most silentReportAge old, to a peer.
func (s State) silentTargets(now time.Time) map[string]bool {
	ids := s.peers.silentTargets(now)
	for _, id := range s.Silent(now) {
		ids[id] = true
	}
	return ids
}

// replaced reports whether another process answered at the target's address within
// replacedTimeout.
func (v View) replaced(now time.Time) bool { return !now.After(v.replacedUntil()) }

// replacedUntil returns until when the target counts as replaced, or the zero time.
func (v View) replacedUntil() time.Time {
	if v.replacedAt.IsZero() {
		return time.Time{}
	}
	return v.replacedAt.Add(replacedTimeout)
}

// WithReplaced returns the state after another process answered at a target's address.
// The target gets no requests for replacedTimeout, by when the platform has removed
// its entry.
func (s State) WithReplaced(id string, now time.Time) State {
	view, found := s.views.Get(id)
	if !found {
		return s
	}
	if !view.replaced(now) {
		s.Trail = s.Trail.With(now, "target "+id, "another process answered at its address", "serving", "replaced")
	}
	view.replacedAt = now
	s.views = s.views.Set(id, view)
	return s
}

// silence returns how long a target of a service may send nothing before it counts as silent.
func (s State) silence(service string, now time.Time) time.Duration {
	known, _ := s.paces.Get(service)
	measured := known.first
	if !measured.Known(now) {
		measured = known.whole
	}
	if !measured.Known(now) {
		return unknownSilence
	}
	return max(minSilence, measured.Usual(now))
}

// Silent returns the sorted IDs of the targets that have not responded to this
// gateway for longer than silence and are not yet to be tried again.
func (s State) Silent(now time.Time) []string {
	var ids []string
	for i := s.views.Iterator(); !i.Done(); {
		id, view, _ := i.Next()
		elapsed := now.Sub(view.unansweredSince)
		if view.unansweredSince.IsZero() || elapsed > silentProbeAfter {
			continue
		}
		if t, listed := s.Roster.Target(id); listed && elapsed > s.silence(t.Service, now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// WithResponse returns the state after a target sent any part of a response.
func (s State) WithResponse(id string) State {
	if view, found := s.views.Get(id); found && !view.unansweredSince.IsZero() {
		view.unansweredSince = time.Time{}
		s.views = s.views.Set(id, view)
	}
	return s
}

// AwaitsResponse reports whether a target has sent nothing since this gateway
// last sent it a request.
func (s State) AwaitsResponse(id string) bool { return !s.View(id).unansweredSince.IsZero() }

// maxLoad returns the load at which a target gets no more requests.
func maxLoad(t roster.Target) int { return max(1, t.Slots) + maxQueued }

// withoutAttemptRecord returns the state with a target's attempt record reset.
func (s State) withoutAttemptRecord(id string) State {
	if view, found := s.views.Get(id); found {
		view.Attempts = eject.Record{}
		s.views = s.views.Set(id, view)
	}
	return s
}

// WithAttempt returns the state after an attempt at a target ended. Several
// consecutive failures eject the target, unless too many targets of its service
// would then be ejected.
func (s State) WithAttempt(id string, failed bool, now time.Time) State {
	view, found := s.views.Get(id)
	if !found {
		return s
	}
	view.InFlight = max(0, view.InFlight-1)
	view.begun = view.begun[max(0, len(view.begun)-view.InFlight):]
	var ejected bool
	view.Attempts, ejected = view.Attempts.WithAttempt(failed, func() (int, int) { return s.countEjected(id, now) }, now)
	if ejected {
		s.Trail = s.Trail.With(now, "target "+id, "attempts in a row failed", "serving", "ejected")
	}
	s.views = s.views.Set(id, view)
	return s
}

// countEjected returns how many other targets of the target's service are ejected,
// and how many targets of it may get new work.
func (s State) countEjected(id string, now time.Time) (others, targets int) {
	t, found := s.Roster.Target(id)
	if !found {
		return 0, 0
	}
	serving := s.Roster.Serving(t.Service, now)
	for _, other := range serving {
		if other.ID != id && s.View(other.ID).Attempts.Ejected(now) {
			others++
		}
	}
	return others, len(serving)
}
