// Package quarantine decides which requests are kept from targets because a part of
// their prompt is suspected of crashing each target that begins to answer it.
//
// A part is suspected if a request that holds it was at a target when the target crashed.
// Parts are those that requests share, and a key of what the request or its session holds
// alone, which its repeats have, too. An answer to a request with a part that got under
// way is a proof of it: it clears the crashes that were known before. Two crashes without a
// proof in between, or one as the answer began if the part was never proven, put a part
// into quarantine for a time that grows with each crash; then one request is sent as a
// trial. While several parts were at the same crashes, a request with only some of them is
// the trial soon, since it tells which one is to blame. Gateways exchange their suspicions,
// so that the whole site learns from one crash.
package quarantine

import (
	"cmp"
	"slices"
	"strconv"
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
	maxOthers     = 8                // parts beside a suspected one that are remembered
	proofLifetime = 10 * time.Minute // a part proven longer ago counts as one that never was
	proofRefresh  = time.Minute      // after which a proof is recorded again
	maxRepeated   = 16               // quarantined parts of which each report to peers tells, however old: a peer may have restarted
)

// entry is a suspicion of the list.
type entry struct {
	Suspicion
	changedAt time.Time // when this gateway learned of the latest change
}

// List is an immutable list of suspected and proven parts. Use New; the zero value is
// not usable.
type List struct {
	name        string
	spread      float64                           // added to each period, as a fraction of it
	entries     *immutable.Map[string, entry]     // by part
	revision    int                               // counts the changes of entries
	proven      *immutable.Map[string, time.Time] // shared parts proven most recently
	provenOlder *immutable.Map[string, time.Time] // the generation of proven parts before
}

// New returns the empty list of the gateway with the given name.
func New(name string) List {
	return List{
		name:        name,
		spread:      float64(xxhash.Sum64String(name)) / (1 << 64) / periodSpread,
		entries:     immutable.NewMap[string, entry](nil),
		proven:      immutable.NewMap[string, time.Time](nil),
		provenOlder: immutable.NewMap[string, time.Time](nil),
	}
}

// Proven reports whether nothing would be learned from a proof of the parts: shared ones
// were proven lately, and no crash of theirs counts.
func (l List) Proven(parts []string, now time.Time) bool {
	return !slices.ContainsFunc(parts, func(part string) bool {
		if e, found := l.entries.Get(part); found && len(e.live()) > 0 {
			return true
		}
		return !isOwn(part) && now.Sub(l.provenAt(part)) > proofRefresh
	})
}

// provenAt returns when a shared part was last proven, or the zero time.
func (l List) provenAt(part string) time.Time {
	if at, found := l.proven.Get(part); found {
		return at
	}
	at, _ := l.provenOlder.Get(part)
	return at
}

// WithProof returns the list after the answer to a request with the parts got under way.
func (l List) WithProof(parts []string, now time.Time) List {
	for _, part := range parts {
		e, found := l.entries.Get(part)
		suspected := found && (len(e.live()) > 0 || !e.ProvenBefore)
		if !isOwn(part) && (suspected || now.Sub(l.provenAt(part)) > proofRefresh) {
			l = l.withProven(part, now)
		}
		if suspected {
			l = l.withSuspicion(e.withProof(now), now)
		}
	}
	return l
}

// withProven returns the list with one more proven part. A full generation replaces the
// older one.
func (l List) withProven(part string, now time.Time) List {
	if l.proven.Len() >= maxProven {
		l.provenOlder, l.proven = l.proven, immutable.NewMap[string, time.Time](nil)
	}
	l.proven = l.proven.Set(part, now)
	return l
}

// WithCrash returns the list after a target crashed while it had a request with the
// parts, whose answer had made the given progress.
func (l List) WithCrash(parts []string, progress Progress, now time.Time) List {
	if progress >= UnderWay {
		return l
	}
	id := l.name + "#" + strconv.FormatInt(now.UnixNano(), 36)
	sorted := slices.Clone(parts)
	slices.SortStableFunc(sorted, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	for _, part := range parts {
		others := slices.DeleteFunc(slices.Clone(sorted), func(other string) bool { return other == part })
		l = l.withSuspicion(l.known(part, now).withCrash(Crash{ID: id, At: now, Begun: progress == Begun, Others: others[:min(len(others), maxOthers)]}), now)
	}
	return l
}

// rank orders the key of what a request holds alone before shared parts.
func rank(part string) int {
	if isOwn(part) {
		return 0
	}
	return 1
}

// known returns the present suspicion of a part, without crashes if there is none.
func (l List) known(part string, now time.Time) Suspicion {
	if e, found := l.entries.Get(part); found && !e.obsolete(now) {
		return e.Suspicion
	}
	return Suspicion{Part: part, ProvenBefore: now.Sub(l.provenAt(part)) <= proofLifetime}
}

// withSuspicion returns the list with a suspicion that changed. It drops obsolete ones
// and, if the list is full, the one that changed least recently, quarantined ones last.
func (l List) withSuspicion(s Suspicion, now time.Time) List {
	oldest := entry{changedAt: now}
	for i := l.entries.Iterator(); !i.Done(); {
		part, e, _ := i.Next()
		if e.obsolete(now) {
			l.entries = l.entries.Delete(part)
		} else if held, oldestHeld := e.quarantined(), oldest.quarantined(); oldest.Part == "" || oldestHeld && !held || held == oldestHeld && e.changedAt.Before(oldest.changedAt) {
			oldest = e
		}
	}
	if _, found := l.entries.Get(s.Part); !found && l.entries.Len() >= maxSuspicions {
		l.entries = l.entries.Delete(oldest.Part)
	}
	l.entries = l.entries.Set(s.Part, entry{Suspicion: s, changedAt: now})
	l.revision++
	return l
}

// Revision returns a number that is higher after each change of a suspicion.
func (l List) Revision() int { return l.revision }

// WithSuspicions returns the list after a peer reported its suspicions. A part that was
// proven here before needs more evidence, crashes before the last proof don't count, and
// the peer learns both in turn.
func (l List) WithSuspicions(reports []Suspicion, now time.Time) List {
	for _, report := range reports {
		if len(report.Crashes) == 0 || report.obsolete(now) {
			continue
		}
		merged, changed := l.known(report.Part, now).merged(report)
		if !changed {
			continue
		}
		if at := merged.clearedAt(); !isOwn(report.Part) && at.After(l.provenAt(report.Part)) {
			l = l.withProven(report.Part, at)
		}
		l = l.withSuspicion(merged.withProof(l.provenAt(report.Part)), now)
	}
	return l
}

// Suspicions returns, for peers, the suspicions that changed recently and some of the
// quarantined parts, those that crashed a target last, or all suspicions. What requests
// hold alone is left out of the former unless it is quarantined: at each crash there may
// be many requests.
func (l List) Suspicions(all bool, now time.Time) []Suspicion {
	var list, older []Suspicion
	for i := l.entries.Iterator(); !i.Done(); {
		switch _, e, _ := i.Next(); {
		case all || now.Sub(e.changedAt) <= shareEvidence && (!isOwn(e.Part) || e.quarantined()):
			list = append(list, e.Suspicion)
		case l.blames(e.Suspicion) && !e.obsolete(now):
			older = append(older, e.Suspicion)
		}
	}
	slices.SortFunc(older, func(a, b Suspicion) int { return b.crashedAt().Compare(a.crashedAt()) })
	list = append(list, older[:min(len(older), maxRepeated)]...)
	slices.SortFunc(list, func(a, b Suspicion) int { return cmp.Compare(a.Part, b.Part) })
	return list
}

// Quarantined returns the quarantined parts, sorted, also those for which a trial is due.
func (l List) Quarantined() []string {
	var parts []string
	for i := l.entries.Iterator(); !i.Done(); {
		if part, e, _ := i.Next(); l.blames(e.Suspicion) {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}

// blames reports whether requests with a part are kept from targets. A part that was proven
// before is excused while one that never was explains all its crashes: callers repeat a
// request that crashes targets, and with it the parts that it shares with sound ones.
func (l List) blames(s Suspicion) bool {
	return s.quarantined() && !(s.ProvenBefore && slices.ContainsFunc(s.others(), func(other string) bool {
		e, found := l.entries.Get(other)
		return found && !e.ProvenBefore && e.quarantined()
	}))
}

// Evidence returns what is known of a part, for logs.
func (l List) Evidence(part string, now time.Time) string {
	s := l.known(part, now)
	text := strconv.Itoa(s.count()) + " of " + strconv.Itoa(len(s.Crashes)) + " crashes count"
	if len(s.Crashes) > 0 {
		text += ", the last " + now.Sub(s.crashedAt()).Round(time.Millisecond).String() + " ago"
	}
	switch at := l.provenAt(part); {
	case !at.IsZero():
		text += ", proven here " + now.Sub(at).Round(time.Millisecond).String() + " ago"
	case s.ProvenBefore:
		text += ", proven elsewhere"
	}
	return text
}

// Blocked reports whether a request with the parts must not be sent, and until when. A
// request with several quarantined parts is allowed later than one with a single part,
// whose trial tells more.
func (l List) Blocked(parts []string, now time.Time) (until time.Time, blocked bool) {
	quarantined := 0
	for _, part := range parts {
		e, found := l.entries.Get(part)
		if !found || !l.blames(e.Suspicion) {
			continue
		}
		quarantined++
		if end := l.end(e.Suspicion, parts); end.After(until) {
			until = end
		}
	}
	if quarantined > 1 {
		until = until.Add(time.Duration(quarantined-1) * trialTimeout)
	}
	return until, now.Before(until)
}

// end returns when the next trial of a quarantined part is due, for a request with the parts.
func (l List) end(s Suspicion, parts []string) time.Time {
	period := s.period(l.shared(s, parts))
	end := s.crashedAt().Add(period + time.Duration(l.spread*float64(period)))
	if next := s.TriedAt.Add(trialTimeout); next.After(end) {
		return next
	}
	return end
}

// shared reports whether another shared part that is also quarantined was at all crashes of
// a part, and a request with the given parts, which lacks the other one, would tell which of
// them is to blame. After a single crash any request may. That a request may have crashed the
// target by what it holds alone is no reason for an early trial, which costs all callers of a
// group several seconds if the shared part is to blame.
func (l List) shared(s Suspicion, parts []string) bool {
	return slices.ContainsFunc(s.others(), func(other string) bool {
		e, found := l.entries.Get(other)
		return found && !isOwn(other) && l.blames(e.Suspicion) && (s.count() == 1 || !slices.Contains(parts, other))
	})
}

// WithSend returns the list after a request with the parts, which Blocked allows, was
// sent. It is the trial of its quarantined parts.
func (l List) WithSend(parts []string, now time.Time) List {
	for _, part := range parts {
		if e, found := l.entries.Get(part); found && l.blames(e.Suspicion) {
			e.TriedAt = now
			l = l.withSuspicion(e.Suspicion, now)
		}
	}
	return l
}
