package dispatch

import (
	"strconv"
	"time"

	"hornbeamtray/core/roster"
)

// Limit is what a target says of the requests that it takes from all gateways together.
// The zero value is that of a target that never named a limit.
type Limit struct {
	Rate  float64   // Rate is in requests a second.
	Named bool      // Named is false once the target's answers no longer name the limit.
	At    time.Time // At is when the latest answer that said so arrived.
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
	return s.withLimit(t, Limit{Rate: rate, Named: true, At: now}, "it said so in an answer", now)
}

// WithoutLimit returns the state after a target named no limit in an answer.
func (s State) WithoutLimit(t roster.Target, now time.Time) State {
	if !s.Limit(t).Known() {
		return s
	}
	return s.withLimit(t, Limit{At: now}, "it named none in an answer", now)
}

func (s State) withLimit(t roster.Target, limit Limit, cause string, now time.Time) State {
	if s.isReplaced(t) {
		return s
	}
	known := s.statement(t)
	if before := known.limit; before.String() != limit.String() {
		s.Trail = s.Trail.With(now, "limit of target "+t.ID, cause, before.String(), limit.String())
	}
	known.limit = limit
	return s.withStatement(t.ID, known, now)
}
