// Package roster decides which targets may get new work, from what the platform
// lists of them and from the failure domains that operators evacuated.
//
// Listings come late, repeated and out of order; each carries the revision of
// its change, and only a higher one counts.
package roster

import (
	"maps"
	"time"

	"github.com/benbjohnson/immutable"
)

// relistGrace is how long after the platform's store came back an entry that
// lapsed meanwhile may be missing though its target lives: about two seconds by
// the platform's contract, and a little for the way.
const relistGrace = 2300 * time.Millisecond

// Target is a back end as the platform lists it.
type Target struct {
	ID             string
	Service        string
	Domain         string
	Address        string
	Slots          int       // Slots counts the requests that it works on at once.
	Leaving        bool      // Leaving: it takes no new work.
	ColdUntil      time.Time // Cold is until when it bears little; in the past for a warm one.
	StartUnixMilli int64     // Born names the start of its process, in Unix milliseconds; 0 where unknown.
	Revision       uint64    // Revision is that of the listing.
}

// Roster is what the platform lists. Start with New.
type Roster struct {
	targets       *immutable.SortedMap[string, Target]
	removed       map[string]uint64    // revision at which a target was removed; never written after construction
	lapsed        map[string]time.Time // targets removed around an outage, and when they count as gone; never written after construction
	evacuated     map[string]uint64    // evacuated domains and the revision of that; never written after construction
	restored      map[string]uint64    // domains taken back and the revision of that; never written after construction
	storeLost     bool
	storeRegained time.Time
}

// New returns an empty roster.
func New() Roster {
	return Roster{targets: immutable.NewSortedMap[string, Target](nil)}
}

// WithTarget returns the roster after a target was listed.
func (r Roster) WithTarget(t Target) Roster {
	if known, found := r.targets.Get(t.ID); found && known.Revision >= t.Revision || r.removed[t.ID] >= t.Revision {
		return r
	}
	r.targets = r.targets.Set(t.ID, t)
	if _, found := r.lapsed[t.ID]; found {
		r.lapsed = withoutEntry(r.lapsed, t.ID)
	}
	return r
}

// WithRemoved returns the roster after a target's entry was removed. Around an
// outage of the store, entries of living targets lapse; they come back within
// returnTime, and until then the target keeps its work.
func (r Roster) WithRemoved(id string, revision uint64, now time.Time) Roster {
	known, found := r.targets.Get(id)
	if found && known.Revision >= revision || r.removed[id] >= revision {
		return r
	}
	r.removed = withEntry(r.removed, id, revision)
	if !found {
		return r
	}
	if until := r.storeRegained.Add(relistGrace); r.storeLost || now.Before(until) {
		r.lapsed = withEntry(r.lapsed, id, until)
		return r
	}
	r.targets = r.targets.Delete(id)
	return r
}

// WithFullListing returns the roster after a whole listing of that revision: targets
// that it lacks were removed.
func (r Roster) WithFullListing(ids map[string]bool, revision uint64, now time.Time) Roster {
	for i := r.targets.Iterator(); !i.Done(); {
		id, t, _ := i.Next()
		if !ids[id] && t.Revision <= revision {
			r = r.WithRemoved(id, revision, now)
		}
	}
	return r
}

// WithEvacuated returns the roster with a failure domain evacuated or taken back.
func (r Roster) WithEvacuated(domain string, evacuated bool, revision uint64) Roster {
	if max(r.evacuated[domain], r.restored[domain]) >= revision {
		return r
	}
	if evacuated {
		r.evacuated = withEntry(r.evacuated, domain, revision)
	} else {
		r.restored = withEntry(r.restored, domain, revision)
	}
	return r
}

// WithFullEvacuations returns the roster after a whole listing of that revision: the
// domains that it lacks were taken back.
func (r Roster) WithFullEvacuations(domains map[string]bool, revision uint64) Roster {
	for domain, at := range r.evacuated {
		if !domains[domain] && at <= revision {
			r = r.WithEvacuated(domain, false, revision)
		}
	}
	return r
}

// WithStoreLost returns the roster while the store can't be read.
func (r Roster) WithStoreLost() Roster {
	r.storeLost = true
	return r
}

// WithStoreRegained returns the roster after the store could be read again.
func (r Roster) WithStoreRegained(now time.Time) Roster {
	if r.storeLost {
		r.storeLost, r.storeRegained = false, now
		r.lapsed = maps.Clone(r.lapsed)
		for id := range r.lapsed {
			r.lapsed[id] = now.Add(relistGrace)
		}
	}
	return r
}

// WithStoreOutage returns the roster after others saw an outage of the store that
// lasted until a time, which is no later than now.
func (r Roster) WithStoreOutage(until time.Time) Roster {
	if until.After(r.storeRegained) {
		r.storeRegained = until
	}
	return r
}

// Swept returns the roster without targets that stayed missing after an outage.
func (r Roster) Swept(now time.Time) Roster {
	for id, until := range r.lapsed {
		if !r.storeLost && !now.Before(until) {
			r.lapsed = withoutEntry(r.lapsed, id)
			r.targets = r.targets.Delete(id)
		}
	}
	return r
}

// Evacuated reports whether operators evacuated a failure domain.
func (r Roster) Evacuated(domain string) bool { return r.evacuated[domain] > r.restored[domain] }

// Target returns the target of that ID.
func (r Roster) Target(id string) (Target, bool) { return r.targets.Get(id) }

// Targets returns all targets listed, sorted by ID.
func (r Roster) Targets() []Target {
	list := make([]Target, 0, r.targets.Len())
	for i := r.targets.Iterator(); !i.Done(); {
		_, t, _ := i.Next()
		list = append(list, t)
	}
	return list
}

// Serving returns the targets of a service that may get new work, sorted by ID.
func (r Roster) Serving(service string, now time.Time) []Target {
	var list []Target
	for i := r.targets.Iterator(); !i.Done(); {
		_, t, _ := i.Next()
		if t.Service == service && r.Available(t, now) {
			list = append(list, t)
		}
	}
	return list
}

// Available reports whether a target may get new work at time now.
func (r Roster) Available(t Target, now time.Time) bool {
	if t.Leaving || r.Evacuated(t.Domain) {
		return false
	}
	until, lapsed := r.lapsed[t.ID]
	return !lapsed || r.storeLost || now.Before(until)
}

func withEntry[V any](m map[string]V, key string, value V) map[string]V {
	out := make(map[string]V, len(m)+1)
	maps.Copy(out, m)
	out[key] = value
	return out
}

func withoutEntry[V any](m map[string]V, key string) map[string]V {
	out := maps.Clone(m)
	delete(out, key)
	return out
}
