package dispatch

import (
	"time"

	"hornbeamtray/core/roster"
	"hornbeamtray/core/route"
)

// Removal tells that a target's entry was removed.
type Removal struct {
	Target   string
	Revision uint64
}

// Evacuation tells that operators evacuated a failure domain or took it back.
type Evacuation struct {
	Domain   string
	Out      bool
	Revision uint64
}

// News is what one read of the platform brought.
type News struct {
	Books       []route.Book
	Targets     []roster.Target
	Removals    []Removal
	Evacuations []Evacuation
	Whole       bool      // Whole: everything that exists is listed, so that what is missing was removed.
	Revision    uint64    // Revision is that up to which all is known.
	At          time.Time // At is when the read began.
}

// WithNews returns the state after a read of the platform.
func (s State) WithNews(n News, now time.Time) State {
	for _, book := range n.Books {
		s = s.WithBook(book, now)
	}
	r := s.Roster
	ids, domains := map[string]bool{}, map[string]bool{}
	for _, t := range n.Targets {
		if known, found := r.Target(t.ID); found && known.StartUnixMilli != t.StartUnixMilli && t.Revision > known.Revision {
			s = s.withoutAttempts(t.ID) // a new process under a name that another had
		}
		r = r.WithTarget(t)
		ids[t.ID] = true
	}
	for _, e := range n.Evacuations {
		r = r.WithEvacuated(e.Domain, e.Out, e.Revision)
		domains[e.Domain] = e.Out
	}
	for _, removal := range n.Removals {
		r = r.WithRemoved(removal.Target, removal.Revision, now)
	}
	if n.Whole {
		r = r.WithFullListing(ids, n.Revision, now).WithFullEvacuations(domains, n.Revision)
	}
	s = s.trailTargets(r, now)
	return s.WithRoster(r, now).WithProof(n.At)
}

// WithStore returns the state after the platform's store was lost or regained.
func (s State) WithStore(reached bool, cause string, now time.Time) State {
	if reached {
		s.Roster = s.Roster.WithStoreRegained(now)
		s.Trail = s.Trail.With(now, "store", cause, "lost", "regained")
		return s
	}
	s.Roster = s.Roster.WithStoreLost()
	s.Trail = s.Trail.With(now, "store", cause, "reached", "lost")
	return s
}

// WithStoreOutage returns the state after other gateways saw an outage of the store
// that lasted until a time.
func (s State) WithStoreOutage(until time.Time) State {
	s.Roster = s.Roster.WithStoreOutage(until)
	return s
}

// trailTargets adds the targets that began or ceased to bear work to the trail.
func (s State) trailTargets(after roster.Roster, now time.Time) State {
	bore := map[string]bool{}
	for _, t := range s.Roster.Targets() {
		bore[t.ID] = s.Roster.Available(t, now)
	}
	for _, t := range after.Targets() {
		if bears := after.Available(t, now); bears != bore[t.ID] {
			s.Trail = s.Trail.With(now, "target "+t.ID, "listed by the platform", bearing(bore[t.ID]), bearing(bears))
		}
		delete(bore, t.ID)
	}
	for id, bears := range bore {
		if bears {
			s.Trail = s.Trail.With(now, "target "+id, "no longer listed by the platform", bearing(true), bearing(false))
		}
	}
	return s
}

func bearing(bears bool) string {
	if bears {
		return "takes work"
	}
	return "takes no new work"
}
