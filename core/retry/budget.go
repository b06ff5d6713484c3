package retry

import "time"

// The bounds of a retry budget.
const (
	Ratio   = 0.1  // Ratio is the number of retries that each first attempt adds to the budget.
	Reserve = 10.0 // Reserve is the number of retries in a full budget, such as that of an idle account or service.
)

// Window is how long first attempts before a retry still count for it. Platforms count retries
// within as long a time, and compare them with the first attempts in it or before it.
const Window = 10 * time.Second

const roundingSlack = 1e-9 // sums of Ratio are not exact

// Budget limits retries to Reserve plus Ratio times the number of first
// attempts. The zero value is a full budget.
type Budget struct {
	spent float64   // retries not yet offset by first attempts; negative for first attempts that make up for a reserve below one
	at    time.Time // of the latest change by At
}

// At returns the budget at a later time. The first attempts that make up for a reserve below
// one lapse, those for one retry within Window.
func (b Budget) At(now time.Time) Budget {
	if b.spent < 0 {
		b.spent = min(0, b.spent+now.Sub(b.at).Seconds()/Window.Seconds())
	}
	b.at = now
	return b
}

// WithFirstAttempt returns the budget after a first attempt.
func (b Budget) WithFirstAttempt() Budget { return b.WithFirstAttemptOf(Reserve) }

// WithFirstAttemptOf is WithFirstAttempt for a budget that holds reserve retries when it
// is full. First attempts add to a reserve below one retry until it allows one.
func (b Budget) WithFirstAttemptOf(reserve float64) Budget {
	b.spent = max(leastSpent(reserve), b.spent-Ratio)
	return b
}

// Take takes one retry from the budget. It returns the new budget and whether
// the budget allows the retry; if not, the budget is unchanged.
func (b Budget) Take() (Budget, bool) { return b.TakeOf(Reserve) }

// TakeOf is Take for a budget that holds reserve retries when it is full.
func (b Budget) TakeOf(reserve float64) (Budget, bool) {
	b.spent = max(leastSpent(reserve), b.spent)
	if b.spent+1 > reserve+roundingSlack {
		return b, false
	}
	b.spent++
	return b, true
}

// leastSpent returns the lower limit of Budget.spent.
func leastSpent(reserve float64) float64 { return min(0, reserve-1) }
