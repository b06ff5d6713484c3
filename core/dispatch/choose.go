package dispatch

import (
	"slices"
	"time"

	"hornbeamtray/core/eject"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/routing"
)

const (
	queued       = 2                      // requests that may wait at a target: one begins within a tenth of a second or so
	probePace    = 150 * time.Millisecond // between attempts at a service whose group is lost
	coldPenalty  = 2                      // requests by which a cold target counts as fuller
	farPenalty   = 1                      // requests by which a target of another failure domain counts as fuller
	peerSilence  = 3 * time.Second        // a peer's counts are dropped after this
	coldWindow   = time.Second            // the bound on cold targets counts the requests of any such span
	fewestShares = 8                      // the bound on cold targets is divided by at least as many gateways
	// A target that gave no sign for so long may stand still with what it was sent:
	// four times what a first part takes, and a quarter of what callers wait.
	silentAfter   = 500 * time.Millisecond
	silentFor     = 3500 * time.Millisecond // from the send; then one more may find out
	silentPenalty = 1000                    // requests by which a silent target counts as fuller: it comes last
)

// View is what the gateway knows of one target by its own requests.
type View struct {
	Own      int // Own counts own requests at the target now.
	Attempts eject.Record
	sends    []time.Time // within coldWindow; never written after construction
	asked    time.Time   // first send since the target last gave a sign; zero after a sign
}

// peer is what another gateway said of itself.
type peer struct {
	loads map[string]int // its requests in flight by target; never written after construction
	heard time.Time

	silent []string // targets that it finds silent; never written after construction
}

// View returns what the gateway knows of one target.
func (s State) View(id string) View {
	view, _ := s.views.Get(id)
	return view
}

// Loads returns the gateway's requests in flight by target.
func (s State) Loads() map[string]int {
	loads := map[string]int{}
	for i := s.views.Iterator(); !i.Done(); {
		id, view, _ := i.Next()
		if view.Own > 0 {
			loads[id] = view.Own
		}
	}
	return loads
}

// WithPeer returns the state after another gateway told its requests in flight.
// It names the targets that it finds silent.
func (s State) WithPeer(name string, loads map[string]int, silent []string, now time.Time) State {
	peers := make(map[string]peer, len(s.peers)+1)
	for other, p := range s.peers {
		peers[other] = p
	}
	peers[name] = peer{loads: loads, heard: now, silent: silent}
	s.peers = peers
	return s
}

// load returns the requests at a target, own ones and those of peers.
func (s State) load(id string, now time.Time) int {
	load := s.View(id).Own
	for _, p := range s.peers {
		if now.Sub(p.heard) <= peerSilence {
			load += p.loads[id]
		}
	}
	return load
}

// Choose picks a target for an admitted request, among those not yet tried.
func (s State) Choose(a Admission, tried []string, random routing.Random, now time.Time) (State, roster.Target, *refusal.Refusal) {
	if again, lost := s.outages[a.Service]; lost {
		if now.Before(again) {
			return s, roster.Target{}, refused(refusal.New(refusal.Busy, refusal.No, "the group of the service's targets can't work now; try again").WithRetry(a.Comeback(now)))
		}
		s = s.WithOutage(a.Service, now)
	}
	serving, silent := s.Roster.Serving(a.Service, now), s.silent(now)
	candidates := make([]routing.Candidate, 0, len(serving))
	for _, t := range serving {
		if slices.Contains(tried, t.ID) || s.View(t.ID).Attempts.Ejected(now) || !s.bearsCold(t, now) {
			continue
		}
		load := s.load(t.ID, now)
		if load >= room(t, a.Late) {
			continue
		}
		if t.Domain != s.Domain {
			load += farPenalty
		}
		if silent[t.ID] {
			load += silentPenalty
		}
		if now.Before(t.ColdUntil) {
			load += coldPenalty
		}
		candidates = append(candidates, routing.Candidate{Target: t.ID, Load: load, Limit: max(1, t.Slots)})
	}
	chosen, found := routing.Least(candidates, random)
	if !found {
		return s, roster.Target{}, refused(refusal.New(refusal.Busy, refusal.No, "no target of the service can take the request now; try again").WithRetry(a.Comeback(now)))
	}
	t, _ := s.Roster.Target(chosen.Target)
	view := s.View(t.ID)
	view.Own++
	if now.Sub(view.asked) > silentFor {
		view.asked = now
	}
	view.sends = append(recentSends(view.sends, now), now)
	s.views = s.views.Set(t.ID, view)
	return s, t, nil
}

// silent returns the targets that gave no sign since they were last sent
// something, to this gateway or to a peer.
func (s State) silent(now time.Time) map[string]bool {
	silent := map[string]bool{}
	for _, id := range s.Silent(now) {
		silent[id] = true
	}
	for _, p := range s.peers {
		if now.Sub(p.heard) > silentAfter {
			continue
		}
		for _, id := range p.silent {
			silent[id] = true
		}
	}
	return silent
}

func (v View) silent(now time.Time) bool {
	waiting := now.Sub(v.asked)
	return !v.asked.IsZero() && waiting > silentAfter && waiting <= silentFor
}

// Silent returns the targets that gave this gateway no sign, sorted.
func (s State) Silent(now time.Time) []string {
	var list []string
	for i := s.views.Iterator(); !i.Done(); {
		if id, view, _ := i.Next(); view.silent(now) {
			list = append(list, id)
		}
	}
	return list
}

// WithSign returns the state after a target sent anything.
func (s State) WithSign(id string) State {
	if view, found := s.views.Get(id); found && !view.asked.IsZero() {
		view.asked = time.Time{}
		s.views = s.views.Set(id, view)
	}
	return s
}

// Asked reports whether a target has given no sign since it was last sent something.
func (s State) Asked(id string) bool { return !s.View(id).asked.IsZero() }

// room returns how many requests a target may have before it gets one more. Late
// ones leave the queue to those that can be on time.
func room(t roster.Target, late bool) int {
	if late {
		return max(1, t.Slots)
	}
	return max(1, t.Slots) + queued
}

// WithOutage returns the state after a target said that its group can't work.
// Until a later attempt succeeds, requests wait or are refused.
func (s State) WithOutage(service string, now time.Time) State {
	outages := map[string]time.Time{}
	for name, again := range s.outages {
		outages[name] = again
	}
	outages[service] = now.Add(probePace)
	if _, lost := s.outages[service]; !lost {
		s.Trail = s.Trail.With(now, "service "+service, "a target said that its group is lost", "serving", "lost")
	}
	s.outages = outages
	return s
}

// Lost reports whether the group of a service's targets can't work.
func (s State) Lost(service string) bool {
	_, lost := s.outages[service]
	return lost
}

// WithService returns the state after a target of the service began an answer.
func (s State) WithService(service string, now time.Time) State {
	if !s.Lost(service) {
		return s
	}
	outages := map[string]time.Time{}
	for name, again := range s.outages {
		if name != service {
			outages[name] = again
		}
	}
	s.outages = outages
	s.Trail = s.Trail.With(now, "service "+service, "a target answered", "lost", "serving")
	return s.withoutEjections(service)
}

// withoutEjections returns the state with no target of a service ejected: while
// its group was lost, attempts failed through no fault of each.
func (s State) withoutEjections(service string) State {
	for _, t := range s.Roster.Targets() {
		if t.Service == service {
			s = s.withoutAttempts(t.ID)
		}
	}
	return s
}

// withoutAttempts returns the state in which no attempt at a target counts.
func (s State) withoutAttempts(id string) State {
	if view, found := s.views.Get(id); found {
		view.Attempts = eject.Record{}
		s.views = s.views.Set(id, view)
	}
	return s
}

// bearsCold reports whether the gateway's share of what a cold target bears
// allows one more request. Any target may have turned cold unseen, so the bound
// holds for all targets of a service that can be cold.
func (s State) bearsCold(t roster.Target, now time.Time) bool {
	service, found := s.Book.Service(t.Service)
	if !found || service.ColdRate <= 0 {
		return true
	}
	gateways := max(fewestShares, len(s.peers)+1)
	bound := (service.ColdRate*s.bounds.ColdOvershoot + s.bounds.ColdSlack) / float64(gateways)
	return len(recentSends(s.View(t.ID).sends, now)) < max(1, int(bound))
}

// recentSends returns a copy of the sends within coldWindow, with room for one more.
func recentSends(sends []time.Time, now time.Time) []time.Time {
	recent := make([]time.Time, 0, len(sends)+1)
	for _, at := range sends {
		if now.Sub(at) <= coldWindow {
			recent = append(recent, at)
		}
	}
	return recent
}

// WithAttempt returns the state after an attempt at a target ended. A target is
// ejected after several failures in a row, unless that would leave too few.
func (s State) WithAttempt(id string, failed bool, now time.Time) State {
	view, found := s.views.Get(id)
	if !found {
		return s
	}
	view.Own = max(0, view.Own-1)
	var ejected bool
	view.Attempts, ejected = view.Attempts.WithAttempt(failed, func() (int, int) { return s.ejected(id, now) }, now)
	if ejected {
		s.Trail = s.Trail.With(now, "target "+id, "attempts in a row failed", "serving", "ejected")
	}
	s.views = s.views.Set(id, view)
	return s
}

// ejected returns how many other targets of a target's service are ejected, of
// how many.
func (s State) ejected(id string, now time.Time) (ejected, targets int) {
	t, found := s.Roster.Target(id)
	if !found {
		return 0, 0
	}
	serving := s.Roster.Serving(t.Service, now)
	for _, other := range serving {
		if other.ID != id && s.View(other.ID).Attempts.Ejected(now) {
			ejected++
		}
	}
	return ejected, len(serving)
}
