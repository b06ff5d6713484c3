package roster

import (
	"maps"
	"time"
)

// After the store came back from an older copy, an entry of it may be older than what was
// known, until its writer has written it again. For these times after the return, what was
// known holds.
const (
	targetDoubt     = 5 * time.Second         // the entry of a target that left in between expires after three beats, 3.6 s
	evacuationDoubt = 2500 * time.Millisecond // an evacuation may also have begun since, and must hold within 5 s
	endDoubt        = 15 * time.Second        // an evacuation that the copy lacks holds until operators write it again
)

// domainDoubt is a change of an evacuation that may be due to the older copy alone.
type domainDoubt struct {
	evacuated bool
	until     time.Time
}

// WithEra returns the roster after the store came back from an older copy. Targets that
// the copy lacks get the same grace period as after an outage.
func (r Roster) WithEra(era uint64, now time.Time) Roster {
	if era <= r.era {
		return r
	}
	if known := r.targets.Len() > 0 || len(r.removed) > 0; known {
		r.eraSince = now
	}
	r.era = era
	return r
}

// Era returns the latest era of the store that is known.
func (r Roster) Era() uint64 { return r.era }

// mayBeRestored reports whether an entry of a later era than what is known may stem from
// the older copy: what was written since the return has a higher number than the
// copy, but not always a higher one than what was lost.
func mayBeRestored(revision, known uint64) bool {
	return known != 0 && Era(revision) > Era(known) && Number(revision) <= Number(known)
}

// agrees reports whether an entry in doubt says the same of the target as the one known.
func (t Target) agrees(known Target) bool {
	known.Revision, known.ColdUntil = t.Revision, t.ColdUntil
	return t == known
}

// withDoubtedTarget returns the roster with an entry that may stem from an older copy. If
// it says that the target leaves, that holds at once.
func (r Roster) withDoubtedTarget(t Target) Roster {
	r.doubted = withEntry(r.doubted, t.ID, t)
	known, found := r.targets.Get(t.ID)
	if !found {
		r.removed = withEntry(r.removed, t.ID, t.Revision)
		return r
	}
	known.Revision, known.Leaving = t.Revision, known.Leaving || t.Leaving
	r.targets = r.targets.Set(t.ID, known)
	return r
}

// withoutDoubt returns the roster without an entry in doubt, since a later one is known.
func (r Roster) withoutDoubt(id string) Roster {
	if _, found := r.doubted[id]; found {
		r.doubted = withoutEntry(r.doubted, id)
	}
	return r
}

// WithLostEvacuation returns the roster after a listing of a later era lacks the evacuation
// of a domain. It holds for endDoubt after the return of the store.
func (r Roster) WithLostEvacuation(domain string, revision uint64) Roster {
	if !r.Evacuated(domain) || r.evacuated[domain] >= revision {
		return r
	}
	r.evacuated = withEntry(r.evacuated, domain, revision)
	r.doubtedDomains = withEntry(r.doubtedDomains, domain, domainDoubt{evacuated: false, until: r.eraSince.Add(endDoubt)})
	return r
}

// withDoubtedEvacuation returns the roster with an evacuation that may stem from an older
// copy, while its end was known.
func (r Roster) withDoubtedEvacuation(domain string, revision uint64) Roster {
	r.restored = withEntry(r.restored, domain, revision)
	r.doubtedDomains = withEntry(r.doubtedDomains, domain, domainDoubt{evacuated: true, until: r.eraSince.Add(evacuationDoubt)})
	return r
}

// withoutOldDoubts returns the roster after the entries that are still in doubt at the end
// of their times came into force. None does while the store is lost.
func (r Roster) withoutOldDoubts(now time.Time) Roster {
	if r.storeLost() {
		return r
	}
	for id, t := range r.doubted {
		if !now.Before(r.eraSince.Add(targetDoubt)) {
			r.doubted = withoutEntry(r.doubted, id)
			r.removed = withoutEntry(r.removed, id)
			r = r.with(t)
		}
	}
	for domain, d := range r.doubtedDomains {
		if now.Before(d.until) {
			continue
		}
		r.doubtedDomains = withoutEntry(r.doubtedDomains, domain)
		if d.evacuated {
			r.evacuated = withEntry(r.evacuated, domain, r.restored[domain])
			r.restored = withoutEntry(r.restored, domain)
		} else {
			r.restored = withEntry(r.restored, domain, r.evacuated[domain])
		}
	}
	return r
}

// hasDoubt reports whether a change of a domain's evacuation is in doubt.
func (r Roster) hasDoubt(domain string) bool {
	_, found := r.doubtedDomains[domain]
	return found
}

func withoutEntry[V any](m map[string]V, key string) map[string]V {
	out := maps.Clone(m)
	delete(out, key)
	return out
}
