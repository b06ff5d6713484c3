package roster

import (
	"slices"
	"time"
)

// outage is a period in which this instance could not read the store. It is an outage of the
// store only as long as no read of another instance shows that the store answered meanwhile.
type outage struct {
	since    time.Time // when the first read had failed
	failedAt time.Time // when the last read that failed began
	until    time.Time // when a read succeeded again; zero while none does
}

// WithStoreLost returns the roster after all reads of the store have failed since a time.
// The last of them began at failedAt.
func (r Roster) WithStoreLost(since, failedAt time.Time) Roster {
	var kept []outage
	for _, o := range r.outages {
		if !o.until.IsZero() && since.Before(o.until.Add(relistGrace)) {
			kept = append(kept, o)
		}
	}
	if since.Before(r.readByOthers) {
		since = r.readByOthers
	}
	r.outages = append(kept, outage{since: since, failedAt: failedAt})
	return r
}

// WithStoreRegained returns the roster after the store became readable again. Entries that
// are missing then may be listed again within relistGrace.
func (r Roster) WithStoreRegained(now time.Time) Roster {
	r.outages = slices.Clone(r.outages)
	for i := range r.outages {
		if r.outages[i].until.IsZero() {
			r.outages[i].until = now
		}
	}
	return r
}

// WithStoreRead returns the roster after it became known that another instance read the store,
// from the one time to the other. If reads of this instance failed meanwhile, the store did not answer this
// instance, but was not away: no entry expired for that.
func (r Roster) WithStoreRead(from, until, now time.Time) Roster {
	contradicts := func(o outage) bool { return until.After(o.since) && from.Before(o.failedAt) }
	if slices.ContainsFunc(r.outages, contradicts) {
		r.outages = slices.DeleteFunc(slices.Clone(r.outages), contradicts)
		r.readByOthers, r.contradictedAt = until, now
	}
	return r
}

// WithOthersOutage returns the roster after all other instances that read the store reported
// an outage that ended at until, or none if until is zero.
func (r Roster) WithOthersOutage(until time.Time) Roster {
	r.othersOutage = until
	return r
}

// SawOutage reports whether this instance could not read the store at some time that matters
// for entries that may be missing, and no other instance has contradicted that.
func (r Roster) SawOutage() bool { return len(r.outages) > 0 }

// ContradictedAt returns when it last became known that another instance had read the store
// while this one could not.
func (r Roster) ContradictedAt() time.Time { return r.contradictedAt }

// storeLost reports whether the store can't be read.
func (r Roster) storeLost() bool {
	return slices.ContainsFunc(r.outages, func(o outage) bool { return o.until.IsZero() })
}

// awaitsEntries reports whether entries of running targets may be missing since they
// expired in an outage of the store, or since it came back from an older copy.
func (r Roster) awaitsEntries(now time.Time) bool {
	if now.Before(r.othersOutage.Add(relistGrace)) || now.Before(r.eraSince.Add(relistGrace)) {
		return true
	}
	return slices.ContainsFunc(r.outages, func(o outage) bool { return o.until.IsZero() || now.Before(o.until.Add(relistGrace)) })
}
