package retry

// Share of first attempts that may be retried, and the retries allowed to a
// quiet account or service.
const (
	Share   = 0.1
	Reserve = 10.0
)

// Budget bounds retries to Reserve plus Share of the first attempts. The zero
// value is a full budget.
type Budget struct {
	spent float64 // retries taken and not yet earned back
}

// WithFirstAttempt returns the budget after a first attempt.
func (b Budget) WithFirstAttempt() Budget {
	b.spent = max(0, b.spent-Share)
	return b
}

// Take returns the budget after a retry, and whether it bears that retry.
func (b Budget) Take() (Budget, bool) {
	if b.spent+1 > Reserve {
		return b, false
	}
	b.spent++
	return b, true
}
