package dispatch

import (
	"math"
	"slices"
	"time"

	"hornbeamtray/core/pace"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/route"
)

const (
	minAnswerTime = 20 * time.Millisecond  // with less time left, no target can answer
	refusalTime   = 100 * time.Millisecond // for a refusal to reach its caller before it leaves, above the longest way between gateways and callers
)

// paces are how long the targets of a service took lately.
type paces struct {
	whole pace.Pace // from the send to the end of a complete answer
	first pace.Pace // from the send to the first part of an answer
}

// WithFirstPart returns the state after a target of a service began an answer, which took
// the given time since the request was sent.
func (s State) WithFirstPart(service string, took time.Duration, now time.Time) State {
	known, _ := s.paces.Get(service)
	known.first = known.first.With(took, now)
	s.paces = s.paces.Set(service, known)
	return s
}

// WithAnswer returns the state after a target of a service completed an answer, which took
// the given time since the request was sent.
func (s State) WithAnswer(service string, took time.Duration, now time.Time) State {
	known, _ := s.paces.Get(service)
	known.whole = known.whole.With(took, now)
	s.paces = s.paces.Set(service, known)
	return s
}

// AnswerTime returns how long an answer of a service usually takes at most, or 0 if that is not
// known.
func (s State) AnswerTime(service string, now time.Time) time.Duration {
	known, _ := s.paces.Get(service)
	return known.whole.Usual(now)
}

// interruption is a time in which no request could be sent to some targets.
type interruption struct {
	since time.Time     // zero if there is none now
	last  time.Duration // of the latest that ended; zero for none
}

// remaining returns how much longer an interruption is expected to last: as long as the
// one before it. One of which nothing is known, or that has outlasted that, is expected to
// last for as long again as it was unexpected.
func (i interruption) remaining(now time.Time) time.Duration {
	if i.since.IsZero() {
		return 0
	}
	return (i.last - now.Sub(i.since)).Abs()
}

func (i interruption) withBegin(at time.Time) interruption {
	if i.since.IsZero() {
		i.since = at
	}
	return i
}

func (i interruption) withEnd(at time.Time) interruption {
	if !i.since.IsZero() {
		i.last, i.since = max(0, at.Sub(i.since)), time.Time{}
	}
	return i
}

// lastStart returns until when a request must be sent to a target so that its answer most
// likely comes while its caller waits for it, by how long targets take now.
func (s State) lastStart(a Admission, now time.Time) time.Time {
	known, _ := s.paces.Get(a.Service)
	last := a.Deadline.Add(-max(minAnswerTime, known.whole.Likely(now)))
	if a.Route.Kind == route.Stream && !a.Heard.IsZero() {
		if event := a.Heard.Add(a.Route.EventTimeout() - max(refusalTime, known.first.Likely(now))); event.Before(last) {
			return event
		}
	}
	return last
}

// forecast is the expected course of the queue for a service.
type forecast struct {
	opensAt time.Time // when the first target takes requests again; not after now if one does
	places  float64   // requests of this gateway that targets take at opensAt
	rate    float64   // requests of this gateway that targets take a second from then on; infinite if nothing is known
	remedy  string    // says what requests wait for

	// The bound on requests to cold targets holds beside that, whatever targets could take.
	coldPlaces float64 // requests that this gateway may send at opensAt
	coldRate   float64 // requests that it may send a second from then on; infinite if the service has no such bound
}

// wait returns how long a request waits for a place behind others.
func (f forecast) wait(ahead int, now time.Time) time.Duration {
	seconds := 0.0
	if behind := float64(ahead) - f.places; behind > 0 {
		seconds = behind / f.rate
	}
	if behind := float64(ahead) - f.coldPlaces; behind > 0 {
		seconds = max(seconds, behind/f.coldRate)
	}
	return max(0, f.opensAt.Sub(now)) + time.Duration(min(seconds, math.MaxInt32)*float64(time.Second))
}

// forecast returns the expected course of the queue for a service with the given targets. Of the places that
// targets free, a gateway gets those that its own requests leave, or its even share if
// that is more: gateways that have requests waiting take each other's places. A target that
// got this gateway's share of the bound on cold targets may have free slots. Its present load
// then says nothing about how many requests it will take.
func (s State) forecast(service string, serving []roster.Target, now time.Time) forecast {
	f := forecast{remedy: "no target of the service has room for the request now"}
	departing, gateways := s.departing(serving), float64(s.peers.count()+1)
	holding := s.holdingTime(service, serving, now)
	shares := s.coldShares(service)
	sharers := gateways // of the places that a target frees
	if shares.bounded {
		sharers = min(gateways, float64(shares.holders()))
	}
	serving = slices.DeleteFunc(s.withShare(serving, now), func(t roster.Target) bool { return departing[t.ID] })
	opens := make([]opening, 0, len(serving))
	for _, t := range serving {
		o := s.opening(t, now)
		o.coldAt = s.coldUntil(t, now)
		opens = append(opens, o)
	}
	if len(opens) == 0 {
		outage, _ := s.idle.Get(service)
		return forecast{opensAt: now.Add(outage.remaining(now)), rate: math.Inf(1), remedy: "no target of the service takes requests now", coldRate: math.Inf(1)}
	}
	first := slices.MinFunc(opens, func(a, b opening) int { return a.next().Compare(b.next()) })
	if f.opensAt = first.next(); first.remedy != "" {
		f.remedy = first.remedy
	}
	if !shares.bounded {
		f.coldRate = math.Inf(1)
	}
	for i, t := range serving {
		load, own := s.loadOf(t, now), s.View(t.ID).InFlight
		room := float64(max(0, maxLoad(t)-load)) / sharers
		if share, bounded := s.coldShare(t, now); bounded && !opens[i].at.After(f.opensAt) {
			f.coldPlaces += float64(max(0, share-len(recentSends(s.View(t.ID).sends, f.opensAt))))
			f.coldRate += float64(share) / coldWindow.Seconds()
		}
		switch limit := s.statement(t).limit; {
		case limit.Named:
			f.rate += max(limit.Rate/gateways, float64(len(recentSends(s.View(t.ID).sends, now)))/coldWindow.Seconds())
			continue
		case opens[i].at.After(f.opensAt):
			continue
		case shares.bounded || opens[i].at.After(now):
			load = max(load, max(1, t.Slots))
			f.places += room
		}
		if holding > 0 {
			f.rate += max(float64(own), float64(load)/sharers) / holding.Seconds()
		}
	}
	if holding == 0 && f.rate == 0 {
		f.rate = math.Inf(1)
	}
	return f
}

// opening is when a target takes requests again.
type opening struct {
	at     time.Time // now for a target that is only full
	remedy string    // says why it takes none until then; empty for one that is only full
	coldAt time.Time // when this gateway's share of the bound on cold targets has room; zero if it has now or there is no bound
}

// next returns when the target can take the next request.
func (o opening) next() time.Time {
	if o.coldAt.After(o.at) {
		return o.coldAt
	}
	return o.at
}

// opening returns when a target takes requests again, as far as that is known. That of a
// target that is only full is now: its places are freed one by one. coldAt is not set.
func (s State) opening(t roster.Target, now time.Time) opening {
	view, latest := s.View(t.ID), opening{at: now}
	pausedUntil := s.pausedUntil(t, now)
	lostUntil, nextPermit := time.Time{}, time.Time{}
	if outage := s.groups.interruptions[s.group(t)]; s.Lost(t) {
		lostUntil = now.Add(outage.remaining(now))
	}
	if known := s.statement(t); known.limit.Named {
		nextPermit = known.nextPermit
	}
	for _, o := range []opening{
		{at: pausedUntil, remedy: "all targets of the service asked for a pause"},
		{at: nextPermit, remedy: "the targets of the service are at the limits that they name"},
		{at: view.Attempts.EjectedUntil, remedy: "the targets of the service failed lately"},
		{at: view.replacedUntil(), remedy: "the targets of the service were replaced"},
		{at: lostUntil, remedy: "the groups of the service's targets can't work now"},
	} {
		if o.at.After(latest.at) {
			latest = o
		}
	}
	return latest
}

// holdingTime returns how long a request occupies a place at a target of a service: as
// long as answers took lately, or as long as those that are under way take already.
func (s State) holdingTime(service string, serving []roster.Target, now time.Time) time.Duration {
	known, _ := s.paces.Get(service)
	var sum time.Duration
	count := 0
	for _, t := range serving {
		for _, begun := range s.View(t.ID).begun {
			sum += now.Sub(begun)
			count++
		}
	}
	return max(known.whole.Mean(now), sum/time.Duration(max(1, count)))
}

// withIdle returns the state with the time noted since when a service has no target.
func (s State) withIdle(service string, idle bool, now time.Time) State {
	known, found := s.idle.Get(service)
	switch {
	case idle:
		s.idle = s.idle.Set(service, known.withBegin(now))
	case found:
		s.idle = s.idle.Set(service, known.withEnd(now))
	}
	return s
}
