// Package roster decides which targets may get new work, based on the entries of
// the platform's store and on the failure domains that operators evacuated.
//
// Entries may arrive late, repeatedly and out of order. Each carries the store
// revision of its change, and an entry with an older revision is ignored.
package roster

import (
	"maps"
	"time"

	"github.com/benbjohnson/immutable"
)

// relistGrace is how long after an outage of the store the entry of a running
// target may be missing: about 2 s by the platform's contract, plus a margin for
// the transfer.
const relistGrace = 2300 * time.Millisecond

// Target is a back end as listed by the platform.
type Target struct {
	ID             string
	Service        string
	Domain         string
	Address        string
	Slots          int       // Slots is the number of requests that the target processes at once.
	Leaving        bool      // Leaving means that the target accepts no new work.
	ColdUntil      time.Time // ColdUntil is when the target's cold period ends; in the past for a warm target.
	StartUnixMilli int64     // StartUnixMilli is the start time of the target's process, which identifies it; 0 if unknown.
	Revision       uint64    // Revision is the store revision of this entry.
}

// Roster holds the targets and evacuations that the platform lists. Use New; the
// zero value is not usable.
type Roster struct {
	targets        *immutable.SortedMap[string, Target]
	occupants      *immutable.Map[string, string] // ID of the target at each address: the one whose process started last
	removed        map[string]uint64              // revision of the last removal, by target; never written after construction
	lapsed         map[string]bool                // lapsed targets, see WithRemoved; never written after construction
	evacuated      map[string]uint64              // revision of the last evacuation, by domain; never written after construction
	restored       map[string]uint64              // revision of the last end of an evacuation, by domain; never written after construction
	outages        []outage                       // of the store, as this instance saw them, the latest last; never written after construction
	readByOthers   time.Time                      // when a read of another instance ended that contradicts an outage
	contradictedAt time.Time                      // when that became known
	othersOutage   time.Time                      // end of the last outage that all other instances saw; zero for none

	era            uint64                 // latest era of the store that is known
	eraSince       time.Time              // when the era was first known; zero for the first era
	doubted        map[string]Target      // entries that may stem from an older copy, by target; never written after construction
	doubtedDomains map[string]domainDoubt // by domain; never written after construction
}

// New returns an empty roster.
func New() Roster {
	return Roster{targets: immutable.NewSortedMap[string, Target](nil), occupants: immutable.NewMap[string, string](nil)}
}

// WithTarget returns the roster with the target added or updated, unless a newer
// entry or removal of it is known. An entry that may stem from an older copy of the store
// has to wait.
func (r Roster) WithTarget(t Target) Roster {
	known, found := r.targets.Get(t.ID)
	if found && known.Revision >= t.Revision || r.removed[t.ID] >= t.Revision {
		return r
	}
	restarted := found && known.StartUnixMilli != 0 && t.StartUnixMilli > known.StartUnixMilli
	if mayBeRestored(t.Revision, max(known.Revision, r.removed[t.ID])) && !restarted && !(found && t.agrees(known)) {
		return r.withDoubtedTarget(t)
	}
	return r.withoutDoubt(t.ID).with(t)
}

// with returns the roster with the entry of a target, which is the newest.
func (r Roster) with(t Target) Roster {
	if known, found := r.targets.Get(t.ID); found && known.Address != t.Address {
		r = r.without(t.ID)
	}
	r.targets = r.targets.Set(t.ID, t)
	if id, found := r.occupants.Get(t.Address); t.Address != "" && (!found || id == t.ID || r.startedLast(t, id)) {
		r.occupants = r.occupants.Set(t.Address, t.ID)
	}
	if r.lapsed[t.ID] {
		r.lapsed = withoutEntry(r.lapsed, t.ID)
	}
	return r
}

// startedAfter reports whether the target's process started after that of other, by
// the start times if both are known, and otherwise by the order of their entries.
func (t Target) startedAfter(other Target) bool {
	if t.StartUnixMilli != 0 && other.StartUnixMilli != 0 && t.StartUnixMilli != other.StartUnixMilli {
		return t.StartUnixMilli > other.StartUnixMilli
	}
	return t.Revision > other.Revision
}

// startedLast reports whether the target's process started after that of the target
// with the given ID.
func (r Roster) startedLast(t Target, id string) bool {
	other, found := r.targets.Get(id)
	return !found || t.startedAfter(other)
}

// without returns the roster without a target. Its address falls to the target that
// started last of those that are also listed there.
func (r Roster) without(id string) Roster {
	t, found := r.targets.Get(id)
	if !found {
		return r
	}
	r.targets = r.targets.Delete(id)
	if occupant, _ := r.occupants.Get(t.Address); occupant != id {
		return r
	}
	r.occupants = r.occupants.Delete(t.Address)
	last := Target{}
	for i := r.targets.Iterator(); !i.Done(); {
		if _, other, _ := i.Next(); other.Address == t.Address && (last.ID == "" || other.startedAfter(last)) {
			last = other
		}
	}
	if last.ID != "" {
		r.occupants = r.occupants.Set(last.Address, last.ID)
	}
	return r
}

// WithRemoved returns the roster after the target's entry was removed from the
// store, unless a newer entry or removal of it is known. The entry of a running
// target may expire during an outage of the store and is listed again within
// relistGrace after the outage ended. A target removed during the outage or in
// that period is lapsed: it may get work until the period is over, or until it
// turns out that there was no outage.
func (r Roster) WithRemoved(id string, revision uint64, now time.Time) Roster {
	known, found := r.targets.Get(id)
	if found && known.Revision >= revision || r.removed[id] >= revision {
		return r
	}
	r = r.withoutDoubt(id)
	r.removed = withEntry(r.removed, id, revision)
	if !found {
		return r
	}
	if r.awaitsEntries(now) {
		r.lapsed = withEntry(r.lapsed, id, true)
		return r
	}
	return r.without(id)
}

// WithFullListing returns the roster after a full listing at the given revision.
// It removes the targets that are not in ids and have no newer entry.
func (r Roster) WithFullListing(ids map[string]bool, revision uint64, now time.Time) Roster {
	for i := r.targets.Iterator(); !i.Done(); {
		id, t, _ := i.Next()
		if !ids[id] && t.Revision <= revision {
			r = r.WithRemoved(id, revision, now)
		}
	}
	return r
}

// WithEvacuated returns the roster with the failure domain evacuated, or with its
// evacuation ended, unless a newer change of the domain is known.
func (r Roster) WithEvacuated(domain string, evacuated bool, revision uint64) Roster {
	known := max(r.evacuated[domain], r.restored[domain])
	if known >= revision {
		return r
	}
	if evacuated && !r.Evacuated(domain) && mayBeRestored(revision, known) {
		return r.withDoubtedEvacuation(domain, revision)
	}
	if r.hasDoubt(domain) {
		r.doubtedDomains = withoutEntry(r.doubtedDomains, domain)
	}
	if evacuated {
		r.evacuated = withEntry(r.evacuated, domain, revision)
	} else {
		r.restored = withEntry(r.restored, domain, revision)
	}
	return r
}

// WithFullEvacuations returns the roster after a full listing of evacuated domains
// at the given revision. It ends the evacuation of the domains that are not listed
// and were not evacuated later.
func (r Roster) WithFullEvacuations(domains map[string]bool, revision uint64) Roster {
	for domain, at := range r.evacuated {
		switch {
		case domains[domain] || at > revision || r.hasDoubt(domain):
		case Era(at) < Era(revision):
			r = r.WithLostEvacuation(domain, revision)
		default:
			r = r.WithEvacuated(domain, false, revision)
		}
	}
	return r
}

// Swept returns the roster without the lapsed targets whose grace period is over.
// It removes none while the store is lost.
func (r Roster) Swept(now time.Time) Roster {
	if !r.awaitsEntries(now) {
		for id := range r.lapsed {
			r = r.without(id)
		}
		r.lapsed = nil
	}
	return r.withoutOldDoubts(now)
}

// Evacuated reports whether the failure domain is evacuated.
func (r Roster) Evacuated(domain string) bool { return r.evacuated[domain] > r.restored[domain] }

// Target returns the target with the given ID.
func (r Roster) Target(id string) (Target, bool) { return r.targets.Get(id) }

// Targets returns all targets, sorted by ID.
func (r Roster) Targets() []Target {
	list := make([]Target, 0, r.targets.Len())
	for i := r.targets.Iterator(); !i.Done(); {
		_, t, _ := i.Next()
		list = append(list, t)
	}
	return list
}

// Serving returns the service's targets that may get new work, sorted by ID.
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

// Available reports whether the target may get new work at time now. A lapsed
// target may until its grace period ends, or while the store is lost. A target
// may not once another process started at its address: the entry of a process that
// crashed stays listed for some seconds.
func (r Roster) Available(t Target, now time.Time) bool {
	if t.Leaving || r.Evacuated(t.Domain) {
		return false
	}
	if id, found := r.occupants.Get(t.Address); found && id != t.ID {
		return false
	}
	return !r.lapsed[t.ID] || r.awaitsEntries(now)
}

func withEntry[V any](m map[string]V, key string, value V) map[string]V {
	out := make(map[string]V, len(m)+1)
	maps.Copy(out, m)
	out[key] = value
	return out
}
