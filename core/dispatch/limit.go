package dispatch

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"hornbeamtray/core/roster"
)

const (
	reportedLimitSlack = time.Second     // a report of a peer must be later by more to replace what is known: gateways report ages, which grow on the way
	limitNews          = 3 * time.Second // how long a change of a limit is in all reports to peers
	maxLimits          = 256             // in a report to peers
)

// Limit is what a target says of the requests that it takes from all gateways together.
// The zero value is that of a target that never named a limit.
type Limit struct {
	Rate  float64   // Rate is in requests a second.
	Named bool      // Named is false once the target's answers no longer name the limit.
	At    time.Time // At is when the latest answer that said so arrived.

	heard     bool      // by this gateway itself, not from a peer
	changedAt time.Time // when this gateway learned of the latest change
}

// Known reports whether the target ever named a limit.
func (l Limit) Known() bool { return !l.At.IsZero() }

// String returns the limit as it is logged.
func (l Limit) String() string {
	if !l.Named {
		return "no limit"
	}
	return strconv.FormatFloat(l.Rate, 'g', -1, 64) + " requests a second"
}

// Limit returns what the present process of a target says of its limit.
func (s State) Limit(t roster.Target) Limit { return s.statement(t).limit }

// WithLimit returns the state after a target named a limit in an answer, in requests a second.
func (s State) WithLimit(t roster.Target, rate float64, now time.Time) State {
	return s.withLimit(t, Limit{Rate: rate, Named: true, At: now, heard: true}, "it said so in an answer", now)
}

// WithoutLimit returns the state after a target named no limit in an answer.
func (s State) WithoutLimit(t roster.Target, now time.Time) State {
	if !s.Limit(t).Known() {
		return s
	}
	return s.withLimit(t, Limit{At: now, heard: true}, "it named none in an answer", now)
}

func (s State) withLimit(t roster.Target, limit Limit, cause string, now time.Time) State {
	if s.isReplaced(t) {
		return s
	}
	known := s.statement(t)
	limit.changedAt = known.limit.changedAt
	if before := known.limit; before.String() != limit.String() {
		s.Trail = s.Trail.With(now, "limit of target "+t.ID, cause, before.String(), limit.String())
		limit.changedAt, known.nextPermit = now, time.Time{}
	}
	known.limit = limit
	return s.withStatement(t.ID, known, now)
}

// NamedLimit is the limit of a target, for peers.
type NamedLimit struct {
	Target         string
	StartUnixMilli int64 // StartUnixMilli identifies the process; 0 if unknown.
	Limit          Limit
}

// Limits returns what targets said of their limits to this gateway itself, all of it or
// what changed recently, for peers. What peers reported is left out, so that it does not
// circulate.
func (s State) Limits(all bool, now time.Time) []NamedLimit {
	var list []NamedLimit
	for i := s.statements.Iterator(); !i.Done(); {
		id, known, _ := i.Next()
		if known.limit.heard && (all || now.Sub(known.limit.changedAt) <= limitNews) {
			list = append(list, NamedLimit{Target: id, StartUnixMilli: known.start, Limit: known.limit})
		}
	}
	slices.SortFunc(list, func(a, b NamedLimit) int {
		return cmp.Or(b.Limit.At.Compare(a.Limit.At), cmp.Compare(a.Target, b.Target))
	})
	return list[:min(len(list), maxLimits)]
}

// WithPeerLimits returns the state after a peer reported limits. It ignores targets that
// are not listed here, and what is not clearly later than what is known.
func (s State) WithPeerLimits(limits []NamedLimit, now time.Time) State {
	for _, l := range limits {
		t, listed := s.Roster.Target(l.Target)
		if !listed || l.StartUnixMilli != 0 && t.StartUnixMilli != 0 && l.StartUnixMilli != t.StartUnixMilli || l.Limit.At.After(now) {
			continue
		}
		known := s.Limit(t)
		if known.Known() && l.Limit.At.Sub(known.At) <= reportedLimitSlack || !known.Known() && !l.Limit.Named {
			continue
		}
		s = s.withLimit(t, Limit{Rate: l.Limit.Rate, Named: l.Limit.Named, At: l.Limit.At}, "it said so in an answer to a peer", now)
	}
	return s
}
