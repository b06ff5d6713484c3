package dispatch

import (
	"time"

	"hornbeamtray/core/roster"
)

const (
	permitLead       = 100 * time.Millisecond // how long before its turn a request is given a permit: above a call to the keeper, and short, so that who comes next is decided late
	scheduleLifetime = time.Minute            // after its latest request, by when a schedule admits any request
)

// Ask asks the keeper of a target's limit for a permit to send one request to it.
type Ask struct {
	Target         string
	StartUnixMilli int64         // StartUnixMilli identifies the process; 0 if unknown.
	Limit          Limit         // Limit is what the asking gateway knows of the target.
	Wait           time.Duration // Wait is how long the request may wait for its turn.
}

// Grant is the answer to an Ask.
type Grant struct {
	Granted bool
	Start   time.Time // Start is when a granted request may be sent.
	Next    time.Time // Next is when the target may get another request.
}

// Ask returns what to ask for before a request is sent to the target that Choose
// returned, and false if it needs no permit or has one.
func (s State) Ask(a Admission, t roster.Target, now time.Time) (Ask, bool) {
	known := s.statement(t)
	if !known.limit.Named || a.Permit == t.ID {
		return Ask{}, false
	}
	ask := Ask{Target: t.ID, StartUnixMilli: known.start, Limit: known.limit}
	if now.Before(known.nextPermit) {
		ask.Wait = permitLead
	}
	return ask, true
}

// Grant answers an ask of this gateway or of a peer. The share is the fraction of the
// target's limit that this gateway hands out.
func (s State) Grant(ask Ask, share float64, now time.Time) (State, Grant) {
	limit := s.limitFor(ask)
	if !limit.Named {
		return s, Grant{Granted: true, Start: now, Next: now}
	}
	schedule, _ := s.schedules.Get(ask.Target)
	schedule, start, granted := schedule.Reserve(share*limit.Rate, ask.Wait, now)
	s.schedules = s.schedules.Set(ask.Target, schedule)
	return s, Grant{Granted: granted, Start: start, Next: schedule.Earliest(share*limit.Rate, now)}
}

// limitFor returns the limit of a target by what this gateway and the asking one know:
// the later statement, or the lower limit if it isn't clear which one is later.
func (s State) limitFor(ask Ask) Limit {
	known, found := s.statements.Get(ask.Target)
	if !found || !known.limit.Known() || known.start != 0 && ask.StartUnixMilli != 0 && known.start != ask.StartUnixMilli {
		return ask.Limit
	}
	switch later := ask.Limit.At.Sub(known.limit.At); {
	case later > reportedLimitSlack:
		return ask.Limit
	case later < -reportedLimitSlack:
		return known.limit
	case !known.limit.Named || ask.Limit.Named && ask.Limit.Rate < known.limit.Rate:
		return ask.Limit
	}
	return known.limit
}

// WithNextPermit returns the state after the keeper of a target's limit said when the
// target may get another request.
func (s State) WithNextPermit(id string, next, now time.Time) State {
	known, found := s.statements.Get(id)
	if !found {
		return s
	}
	known.nextPermit = next
	return s.withStatement(id, known, now)
}

// needsPermitUntil returns when a target at its limit may get another request, or the
// zero time if it may get this one.
func (s State) needsPermitUntil(a Admission, t roster.Target, now time.Time) time.Time {
	if s.statements.Len() == 0 || a.Permit == t.ID {
		return time.Time{}
	}
	if known := s.statement(t); known.limit.Named && now.Before(known.nextPermit) {
		return known.nextPermit
	}
	return time.Time{}
}

// WithPermit returns the admission with a permit for one target, or without one for "".
func (a Admission) WithPermit(target string) Admission {
	a.Permit = target
	return a
}

// withoutOldSchedules returns the state without the schedules that admit any request.
func (s State) withoutOldSchedules(now time.Time) State {
	for i := s.schedules.Iterator(); !i.Done(); {
		id, schedule, _ := i.Next()
		if schedule.IdleSince(now.Add(-scheduleLifetime)) {
			s.schedules = s.schedules.Delete(id)
		}
	}
	return s
}
