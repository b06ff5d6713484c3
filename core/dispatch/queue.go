package dispatch

import (
	"slices"
	"time"

	"hornbeamtray/core/queue"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/roster"
)

const (
	dueRequests       = 4                      // waiting requests that look for a target when an answer frees one place, several at once included
	judgeInterval     = 100 * time.Millisecond // between two forecasts for a request that waits
	doubt             = 2                      // a request that waits is refused if it would wait too long even with this many times fewer before it: it would lose its place for nothing if the forecast were too high
	retryAfterDivisor = 3                      // callers return after 1/retryAfterDivisor of their time left if they are asked to return later
)

// Queue decides whether a request that Choose found no target for waits for one: it does
// if it is expected to get a place while its caller has the time. It returns the admission
// with its place in the queue, or a refusal. It judges a request that waits already anew.
// The draw is a uniform random number in [0, 1).
func (s State) Queue(a Admission, tried []string, draw float64, now time.Time) (State, Admission, *refusal.Refusal) {
	if a.Place.Waits() && now.Sub(a.JudgedAt) < judgeInterval && now.Before(a.WaitUntil) {
		return s, a, nil
	}
	serving := s.Roster.Serving(a.Service, now)
	s = s.withIdle(a.Service, len(serving) == 0, now)
	f := s.forecast(a.Service, serving, now)
	if a.Place.Waits() {
		a.Ahead = s.queue.Expected(a.Place, a.Account) / doubt
	} else {
		a.Ahead = s.queue.Expected(s.queue.Next(a.Service, a.Priority), a.Account)
	}
	a.JudgedAt, a.Wait, a.WaitUntil = now, f.wait(a.Ahead, now), s.lastStart(a, now)
	if !now.Before(a.WaitUntil) || now.Add(a.Wait).After(a.WaitUntil) || triedAll(s.withShare(serving, now), tried) {
		s.queue, a.Place = s.queue.Without(a.Place), queue.Place{}
		return s, a, refused(s.refusalAfter(a, f, a.Wait, draw, now))
	}
	if !a.Place.Waits() {
		s.queue, a.Place = s.queue.With(a.Service, a.Priority, queue.Entry{Account: a.Account, Arrived: a.Arrived, Tried: tried})
	}
	return s, a, nil
}

// triedAll reports whether a request was tried at all targets.
func triedAll(serving []roster.Target, tried []string) bool {
	return len(serving) > 0 && !slices.ContainsFunc(serving, func(t roster.Target) bool { return !slices.Contains(tried, t.ID) })
}

// precedes returns the requests that wait for the targets that a request may use and come
// first. One that was tried at all of them is not counted: it can't use them.
func (s State) precedes(a Admission, c candidates) int {
	if s.queue.Len() == 0 {
		return 0
	}
	place := a.Place
	if !place.Waits() {
		place = s.queue.Next(a.Service, a.Priority)
	}
	return s.queue.Ahead(place, a.Account, func(e queue.Entry) bool {
		return len(e.Tried) == 0 || slices.ContainsFunc(c.all(), func(id string) bool { return !slices.Contains(e.Tried, id) })
	})
}

// WithPlaceTaken returns the state after a waiting request was given a permit.
func (s State) WithPlaceTaken(a Admission) State {
	s.queue = s.queue.WithTaken(a.Place, a.Account)
	return s
}

// WithoutPlace returns the state after a waiting request ended.
func (s State) WithoutPlace(a Admission) State {
	s.queue = s.queue.Without(a.Place)
	return s
}

// Due reports whether a waiting request is among those that may use the places that one
// answer frees. Only these need to look for a target then.
func (s State) Due(a Admission) bool {
	return s.queue.Ahead(a.Place, a.Account, func(queue.Entry) bool { return true }) < dueRequests
}

// Waiting returns the number of requests that wait for targets.
func (s State) Waiting() int { return s.queue.Len() }

// Busy returns the refusal of a request that targets did not run for lack of room. The
// draw is a uniform random number in [0, 1).
func (s State) Busy(a Admission, draw float64, now time.Time) refusal.Refusal {
	f := s.forecast(a.Service, s.Roster.Serving(a.Service, now), now)
	place := s.queue.Next(a.Service, a.Priority)
	return s.refusalAfter(a, f, f.wait(s.queue.Expected(place, a.Account), now), draw, now)
}

// refusalAfter returns the refusal of a request that would wait too long. Its caller is
// asked to return when there is room. Those who are refused together return spread over
// the time in which targets free their places once. A caller who would have too little time
// left by then is told so.
func (s State) refusalAfter(a Admission, f forecast, wait time.Duration, draw float64, now time.Time) refusal.Refusal {
	known, _ := s.paces.Get(a.Service)
	left, answer := a.Deadline.Sub(now), max(minAnswerTime, known.whole.Likely(now))
	if wait+answer >= left {
		return refusal.New(refusal.Busy, refusal.No, f.remedy+", and the request is not expected to be served in the time that is left; ask again with more time")
	}
	latest := min(left/retryAfterDivisor, left-answer)
	spread := latest // if nothing is known
	if known.whole.Known(now) {
		spread = max(minAnswerTime, known.whole.Mean(now))
		latest = min(latest, wait+spread)
	}
	earliest := min(wait, max(0, latest-spread))
	if wait < latest && !known.whole.Known(now) {
		earliest = wait
	}
	return refusal.New(refusal.Busy, refusal.No, f.remedy+"; try again later").WithRetry(earliest + time.Duration(draw*float64(latest-earliest)))
}
