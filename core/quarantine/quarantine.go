// Package quarantine decides which requests are kept from targets because a part of
// their prompt is suspected of crashing each target that begins to answer it.
//
// A part is suspected if a request that holds it was at a target when the target crashed,
// and no answer to a request that holds it ever got under way. A part with such an answer
// is proven. Suspected parts are quarantined for a time that grows with each crash; then
// one request is sent as a trial. Gateways exchange their suspicions, so that the whole
// site learns from one crash.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

const (
	periodSpread  = 4                // quarantines end up to 1/periodSpread later, by gateway, so that one of them makes the trial
	trialTimeout  = 10 * time.Second // after which another trial may follow; the caller of the last one has its answer or has left
	shareEvidence = 5 * time.Second  // how long a change is reported to peers
	maxProven     = 8192             // parts in each of two generations
	maxSuspicions = 256
	maxOthers     = 8  // parts beside a suspected one that are remembered
	maxRepeated   = 16 // quarantined parts of which each report to peers tells, however old: a peer may have restarted
)

// entry is a suspicion of the list.
type entry struct {
	Suspicion
	changedAt time.Time // when this gateway learned of the latest change
}

// List is an immutable list of suspected and proven parts. Use New; the zero value is
// not usable.
type List struct {
	spread      float64                          // added to each period, as a fraction of it
	entries     *immutable.Map[string, entry]    // by part
	revision    int                              // counts the changes of entries
	proven      *immutable.Map[string, struct{}] // parts proven most recently
	provenOlder *immutable.Map[string, struct{}] // the generation of proven parts before
}

// New returns the empty list of the gateway with the given name.
func New(name string) List {
	return List{
		spread:      float64(xxhash.Sum64String(name)) / (1 << 64) / periodSpread,
		entries:     immutable.NewMap[string, entry](nil),
		proven:      immutable.NewMap[string, struct{}](nil),
		provenOlder: immutable.NewMap[string, struct{}](nil),
	}
}

// Proven reports whether all parts are proven, so that none of them can be suspected.
func (l List) Proven(parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !l.isProven(part) })
}

func (l List) isProven(part string) bool {
	if _, found := l.proven.Get(part); found {
		return true
	}
	_, found := l.provenOlder.Get(part)
	return found
}

// WithProof returns the list after the answer to a request with the parts got under way.
func (l List) WithProof(parts []string, now time.Time) List {
	for _, part := range parts {
		if l.isProven(part) {
			continue
		}
		l = l.withProven(part)
		if e, found := l.entries.Get(part); found && !e.Proven {
			e.Proven = true
			l = l.withSuspicion(e.Suspicion, now)
		}
	}
	return l
}

// withProven returns the list with one more proven part. A full generation replaces the
// older one.
func (l List) withProven(part string) List {
	if l.proven.Len() >= maxProven {
		l.provenOlder, l.proven = l.proven, immutable.NewMap[string, struct{}](nil)
	}
	l.proven = l.proven.Set(part, struct{}{})
	return l
}

// WithCrash returns the list after a target crashed while it had a request with the
// parts, whose answer had made the given progress.
func (l List) WithCrash(parts []string, progress Progress, now time.Time) List {
	if progress >= UnderWay {
		return l
	}
	suspected := slices.DeleteFunc(slices.Clone(parts), l.isProven)
	for _, part := range suspected {
		known, found := l.entries.Get(part)
		if !found || known.obsolete(now) {
			known = entry{Suspicion: Suspicion{Part: part}}
		}
		others := slices.DeleteFunc(slices.Clone(suspected), func(other string) bool { return other == part })
		l = l.withSuspicion(known.withCrash(others[:min(len(others), maxOthers)], progress == Begun, now), now)
	}
	return l
}

// withSuspicion returns the list with a suspicion that changed. It drops obsolete ones,
// and the one that changed least recently if the list is full.
func (l List) withSuspicion(s Suspicion, now time.Time) List {
	oldest := entry{changedAt: now}
	for i := l.entries.Iterator(); !i.Done(); {
		part, e, _ := i.Next()
		if e.obsolete(now) {
			l.entries = l.entries.Delete(part)
		} else if e.changedAt.Before(oldest.changedAt) {
			oldest = e
		}
	}
	if l.entries.Len() >= maxSuspicions {
		l.entries = l.entries.Delete(oldest.Part)
	}
	l.entries = l.entries.Set(s.Part, entry{Suspicion: s, changedAt: now})
	l.revision++
	return l
}

// Revision returns a number that is higher after each change of a suspicion.
func (l List) Revision() int { return l.revision }

// WithSuspicions returns the list after a peer reported its suspicions. Parts that are
// proven here stay so, and the peer learns it in turn.
func (l List) WithSuspicions(reports []Suspicion, now time.Time) List {
	for _, report := range reports {
		if report.obsolete(now) {
			continue
		}
		known, found := l.entries.Get(report.Part)
		if !found || known.obsolete(now) {
			known = entry{Suspicion: Suspicion{Part: report.Part, Proven: l.isProven(report.Part)}}
		}
		merged, changed := known.merged(report)
		if !changed {
			continue
		}
		if merged.Proven && !l.isProven(report.Part) {
			l = l.withProven(report.Part)
		}
		l = l.withSuspicion(merged, now)
	}
	return l
}

// Suspicions returns, for peers, the suspicions that changed recently and some of the
// quarantined parts, those that crashed a target last, or all suspicions.
func (l List) Suspicions(all bool, now time.Time) []Suspicion {
	var list, older []Suspicion
	for i := l.entries.Iterator(); !i.Done(); {
		switch _, e, _ := i.Next(); {
		case all || now.Sub(e.changedAt) <= shareEvidence:
			list = append(list, e.Suspicion)
		case e.quarantined() && !e.obsolete(now):
			older = append(older, e.Suspicion)
		}
	}
	slices.SortFunc(older, func(a, b Suspicion) int { return b.CrashedAt.Compare(a.CrashedAt) })
	list = append(list, older[:min(len(older), maxRepeated)]...)
	slices.SortFunc(list, func(a, b Suspicion) int { return cmp.Compare(a.Part, b.Part) })
	return list
}

// Quarantined returns the quarantined parts, sorted, also those for which a trial is due.
func (l List) Quarantined() []string {
	var parts []string
	for i := l.entries.Iterator(); !i.Done(); {
		if part, e, _ := i.Next(); e.quarantined() {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}

// Blocked reports whether a request with the parts must not be sent, and until when. A
// request with several quarantined parts is allowed later than one with a single part,
// whose trial tells more.
func (l List) Blocked(parts []string, now time.Time) (until time.Time, blocked bool) {
	quarantined := 0
	for _, part := range parts {
		e, found := l.entries.Get(part)
		if !found || !e.quarantined() {
			continue
		}
		quarantined++
		if end := l.end(e.Suspicion); end.After(until) {
			until = end
		}
	}
	if quarantined > 1 {
		until = until.Add(time.Duration(quarantined-1) * trialTimeout)
	}
	return until, now.Before(until)
}

// end returns when the next trial of a quarantined part is due.
func (l List) end(s Suspicion) time.Time {
	period := s.period(slices.ContainsFunc(s.Others, func(other string) bool { return !l.isProven(other) }))
	end := s.CrashedAt.Add(period + time.Duration(l.spread*float64(period)))
	if next := s.TriedAt.Add(trialTimeout); next.After(end) {
		return next
	}
	return end
}

// WithSend returns the list after a request with the parts, which Blocked allows, was
// sent. It is the trial of its quarantined parts.
func (l List) WithSend(parts []string, now time.Time) List {
	for _, part := range parts {
		if e, found := l.entries.Get(part); found && e.quarantined() {
			e.TriedAt = now
			l = l.withSuspicion(e.Suspicion, now)
		}
	}
	return l
}
