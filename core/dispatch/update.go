package dispatch

import (
	"strconv"
	"time"

	"hornbeamtray/core/eject"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/route"
)

// Removal records that a target's entry was removed from the platform's store.
type Removal struct {
	Target   string
	Revision uint64
}

// Evacuation records that operators evacuated a failure domain or ended its evacuation.
type Evacuation struct {
	Domain    string
	Evacuated bool
	Lost      bool // Lost means that the store lacks it since it came back from an older copy, so that it may not have ended.
	Revision  uint64
}

// Update is the result of one read of the platform: a complete listing or the
// changes since the previous read.
type Update struct {
	Books       []route.Book
	Targets     []roster.Target
	Removals    []Removal
	Evacuations []Evacuation
	Complete    bool      // Complete is set if everything that exists is listed, so that what is missing was removed.
	Revision    uint64    // Revision is the last revision that the read covers.
	ReadAt      time.Time // ReadAt is when the read began.
}

// WithUpdate returns the state after a read of the platform.
func (s State) WithUpdate(update Update, now time.Time) State {
	for _, book := range update.Books {
		s = s.WithBook(book, now)
	}
	r := s.Roster
	if era := roster.Era(update.Revision); era > r.Era() {
		if r.Era() > 0 {
			s.Trail = s.Trail.With(now, "store", "it came back from an older copy", eraText(r.Era()), eraText(era))
		}
		r = r.WithEra(era, now)
	}
	ids, domains := map[string]bool{}, map[string]bool{}
	for _, t := range update.Targets {
		if known, found := r.Target(t.ID); found && known.StartUnixMilli != t.StartUnixMilli && t.Revision > known.Revision {
			s = s.withNewProcess(t.ID)
		}
		r = r.WithTarget(t)
		ids[t.ID] = true
	}
	for _, evacuation := range update.Evacuations {
		if evacuation.Lost {
			r = r.WithLostEvacuation(evacuation.Domain, evacuation.Revision)
			continue
		}
		r = r.WithEvacuated(evacuation.Domain, evacuation.Evacuated, evacuation.Revision)
		domains[evacuation.Domain] = evacuation.Evacuated
	}
	for _, removal := range update.Removals {
		r = r.WithRemoved(removal.Target, removal.Revision, now)
	}
	if update.Complete {
		r = r.WithFullListing(ids, update.Revision, now).WithFullEvacuations(domains, update.Revision)
	}
	s = s.recordTargetChanges(r, now)
	return s.WithRoster(r, now).WithSync(update.ReadAt)
}

// withNewProcess returns the state after a new process started under the ID of a
// target. The failures of the old one don't count for it.
func (s State) withNewProcess(id string) State {
	if view, found := s.views.Get(id); found {
		view.Attempts, view.replacedAt = eject.Record{}, time.Time{}
		s.views = s.views.Set(id, view)
	}
	return s
}

// WithStoreLost returns the state after all reads of the platform's store have failed since
// a time. The last of them began at failedAt.
func (s State) WithStoreLost(since, failedAt, now time.Time) State {
	if !s.Roster.SawOutage() {
		s.Trail = s.Trail.With(now, "store", "it can't be read", "reached", "lost")
	}
	s.Roster = s.Roster.WithStoreLost(since, failedAt)
	return s
}

// WithStoreRegained returns the state after the platform's store was read again.
func (s State) WithStoreRegained(now time.Time) State {
	s.Roster = s.Roster.WithStoreRegained(now)
	s.Trail = s.Trail.With(now, "store", "it was read again", "lost", "regained")
	return s
}

// WithStoreRead returns the state after another gateway read the platform's store, from the
// one time to the other. Targets that were kept for an outage which that contradicts get no
// more work.
func (s State) WithStoreRead(from, until, now time.Time) State {
	r := s.Roster.WithStoreRead(from, until, now)
	if s.Roster.SawOutage() == r.SawOutage() {
		return s
	}
	s.Trail = s.Trail.With(now, "store", "another gateway read it meanwhile", "lost", "reached by others")
	return s.recordTargetChanges(r, now).WithRoster(r, now)
}

// WithOthersOutage returns the state after all other gateways that read the store reported
// an outage that lasted until the given time, or none if that is zero.
func (s State) WithOthersOutage(until time.Time) State {
	s.Roster = s.Roster.WithOthersOutage(until)
	return s
}

// recordTargetChanges returns the state with an entry in the trail for each target
// that started or stopped accepting new work between the present roster and the
// roster after.
func (s State) recordTargetChanges(after roster.Roster, now time.Time) State {
	acceptedBefore := map[string]bool{}
	for _, t := range s.Roster.Targets() {
		acceptedBefore[t.ID] = s.Roster.Available(t, now)
	}
	for _, t := range after.Targets() {
		if accepts := after.Available(t, now); accepts != acceptedBefore[t.ID] {
			s.Trail = s.Trail.With(now, "target "+t.ID, "listed by the platform", workState(acceptedBefore[t.ID]), workState(accepts))
		}
		delete(acceptedBefore, t.ID)
	}
	for id, accepted := range acceptedBefore {
		if accepted {
			s.Trail = s.Trail.With(now, "target "+id, "no longer listed by the platform", workState(true), workState(false))
		}
	}
	return s
}

func eraText(era uint64) string { return "era " + strconv.FormatUint(era, 10) }

// workState returns the name of a target's state in the trail.
func workState(accepts bool) string {
	if accepts {
		return "takes work"
	}
	return "takes no new work"
}
