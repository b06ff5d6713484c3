package dispatch

import (
	"cmp"
	"slices"
	"time"

	"hornbeamtray/core/roster"
)

const (
	maxPause          = 5 * time.Minute  // a longer pause is cut to this
	pauseTrialTimeout = 2 * time.Second  // after which another request may try a target whose pause is over
	leavingDoubted    = 5 * time.Second  // a target that is still listed as ready this long after it said that it leaves may be wrong
	leavingTimeout    = time.Minute      // a target that is still listed as ready then gets work again
	statementLifetime = 10 * time.Minute // what a target that is no longer listed said is kept this long: its entry may return after an outage
	maxDepartures     = 64               // in a report to peers
	departureSlack    = time.Second      // reports whose times differ by less mean the same answer: gateways report ages, which grow on the way
)

// statement is what the process of a target said of itself in its answers. Statements
// are kept apart from the views of targets: they hold while the target's entry is missing.
type statement struct {
	start       int64     // start time of the process in Unix milliseconds; 0 if unknown
	leavingAt   time.Time // when it last said that it leaves; zero for never
	pausedUntil time.Time // end of the pause that it asked for; zero for none, or once it answered after the pause
	triedAt     time.Time // when a request was sent to it after the pause; zero for not yet
	limit       Limit
	nextPermit  time.Time // when the target may get another request by its limit, as its keeper last said
	changedAt   time.Time
}

// Departure is a target that said in an answer that it leaves.
type Departure struct {
	Target         string
	StartUnixMilli int64 // StartUnixMilli identifies the process; 0 if unknown.
	At             time.Time
}

// statement returns what the present process of a target said. A process that started
// later under the same ID has said nothing.
func (s State) statement(t roster.Target) statement {
	known, found := s.statements.Get(t.ID)
	if !found || known.start != 0 && t.StartUnixMilli != 0 && known.start != t.StartUnixMilli {
		return statement{start: t.StartUnixMilli}
	}
	return known
}

// isReplaced reports whether another process than that of t has t's ID now.
func (s State) isReplaced(t roster.Target) bool {
	present, listed := s.Roster.Target(t.ID)
	return listed && present.StartUnixMilli != 0 && t.StartUnixMilli != 0 && present.StartUnixMilli != t.StartUnixMilli
}

func (s State) withStatement(id string, known statement, now time.Time) State {
	known.changedAt = now
	s.statements = s.statements.Set(id, known)
	return s
}

// WithLeaving returns the state after a target said in an answer that it leaves. It gets
// no new work, whatever the platform or peers say, until another process has its ID or
// the platform has listed it as ready for leavingTimeout since.
func (s State) WithLeaving(t roster.Target, now time.Time) State {
	if s.isReplaced(t) {
		return s
	}
	known := s.statement(t)
	if !s.SaidLeaving(t) {
		s.Trail = s.Trail.With(now, "target "+t.ID, "it said so in an answer", workState(true), workState(false))
	}
	known.leavingAt = now
	return s.withStatement(t.ID, known, now)
}

// SaidLeaving reports whether the target said in an answer that it leaves, and the
// platform hasn't contradicted it for long.
func (s State) SaidLeaving(t roster.Target) bool {
	at := s.statement(t).leavingAt
	return !at.IsZero() && s.SyncedAt.Sub(at) <= leavingTimeout
}

// Departing reports whether the target leaves or has left: it said so in an answer, the
// platform lists it as leaving, or no longer lists it.
func (s State) Departing(t roster.Target) bool {
	listed, found := s.Roster.Target(t.ID)
	return !found || listed.Leaving || s.SaidLeaving(t)
}

// departing returns the targets of a service that get no new work since they said that
// they leave. If all of them said so, those that the platform still lists as ready after
// leavingDoubted get work: a fault of the targets must not take the service away.
func (s State) departing(serving []roster.Target) map[string]bool {
	if s.statements.Len() == 0 {
		return nil
	}
	departing := map[string]bool{}
	for _, t := range serving {
		if s.SaidLeaving(t) {
			departing[t.ID] = true
		}
	}
	if len(departing) < len(serving) {
		return departing
	}
	for _, t := range serving {
		if s.SyncedAt.Sub(s.statement(t).leavingAt) > leavingDoubted {
			delete(departing, t.ID)
		}
	}
	return departing
}

// Departures returns the targets that said that they leave, for peers.
func (s State) Departures(now time.Time) []Departure {
	var list []Departure
	for i := s.statements.Iterator(); !i.Done(); {
		id, known, _ := i.Next()
		if !known.leavingAt.IsZero() && now.Sub(known.leavingAt) <= leavingTimeout {
			list = append(list, Departure{Target: id, StartUnixMilli: known.start, At: known.leavingAt})
		}
	}
	slices.SortFunc(list, func(a, b Departure) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Target, b.Target)) })
	return list[:min(len(list), maxDepartures)]
}

// WithDepartures returns the state after a peer reported targets that said that they
// leave. It ignores targets that are not listed here, and what is known already.
func (s State) WithDepartures(departures []Departure, now time.Time) State {
	for _, d := range departures {
		t, listed := s.Roster.Target(d.Target)
		if !listed || d.StartUnixMilli != 0 && t.StartUnixMilli != 0 && d.StartUnixMilli != t.StartUnixMilli || d.At.After(now) {
			continue
		}
		known := s.statement(t)
		if d.At.Sub(known.leavingAt) <= departureSlack || s.SaidLeaving(t) {
			continue
		}
		known.leavingAt = d.At
		s = s.withStatement(t.ID, known, now)
		if s.SaidLeaving(t) {
			s.Trail = s.Trail.With(now, "target "+t.ID, "it said so in an answer to a peer", workState(true), workState(false))
		}
	}
	return s
}

// WithPause returns the state after a target turned a request away and asked for a
// pause, of at most maxPause. The pause holds between this gateway and the target alone.
func (s State) WithPause(t roster.Target, pause time.Duration, now time.Time) State {
	if s.isReplaced(t) {
		return s
	}
	known := s.statement(t)
	if until := now.Add(min(max(0, pause), maxPause)); until.After(known.pausedUntil) {
		if known.pausedUntil.IsZero() {
			s.Trail = s.Trail.With(now, "target "+t.ID, "it asked for a pause", "serving", "paused")
		}
		known.pausedUntil = until
	}
	known.triedAt = time.Time{}
	return s.withStatement(t.ID, known, now)
}

// AwaitsTrial reports whether the target asked for a pause and has not answered since.
func (s State) AwaitsTrial(t roster.Target) bool { return !s.statement(t).pausedUntil.IsZero() }

// WithPauseOver returns the state after a target answered without asking for a pause.
// During a pause the answer is one to an earlier request, and changes nothing.
func (s State) WithPauseOver(t roster.Target, now time.Time) State {
	known := s.statement(t)
	if known.pausedUntil.IsZero() || now.Before(known.pausedUntil) {
		return s
	}
	s.Trail = s.Trail.With(now, "target "+t.ID, "it answered after a pause", "paused", "serving")
	known.pausedUntil, known.triedAt = time.Time{}, time.Time{}
	return s.withStatement(t.ID, known, now)
}

// withTrial returns the state after a request was sent to a target. After a pause it is
// the only one until the target answers.
func (s State) withTrial(t roster.Target, now time.Time) State {
	if known := s.statement(t); !known.pausedUntil.IsZero() {
		known.triedAt = now
		return s.withStatement(t.ID, known, now)
	}
	return s
}

// pausedUntil returns until when the target gets no request because of a pause, or the
// zero time if it may get one.
func (s State) pausedUntil(t roster.Target, now time.Time) time.Time {
	if s.statements.Len() == 0 {
		return time.Time{}
	}
	known := s.statement(t)
	switch {
	case known.pausedUntil.IsZero():
		return time.Time{}
	case now.Before(known.pausedUntil):
		return known.pausedUntil
	case !known.triedAt.IsZero() && now.Sub(known.triedAt) < pauseTrialTimeout:
		return known.triedAt.Add(pauseTrialTimeout)
	}
	return time.Time{}
}

// withoutOldStatements returns the state without what targets said that are no longer
// listed, once it is older than statementLifetime.
func (s State) withoutOldStatements(now time.Time) State {
	for i := s.statements.Iterator(); !i.Done(); {
		id, known, _ := i.Next()
		if _, listed := s.Roster.Target(id); !listed && now.Sub(known.changedAt) > statementLifetime {
			s.statements = s.statements.Delete(id)
		}
	}
	return s
}
