// Package eject decides for how long a target gets no work after attempts at it
// failed in a row.
//
// How many targets may be ejected at once is for the caller to decide.
package eject

import "time"

// Bounds on ejection.
const (
	after   = 3 // failures in a row
	first   = time.Second
	longest = 30 * time.Second
)

// Record is what is known of the latest attempts at a target. The zero value
// has seen none.
type Record struct {
	Failures int       // Failures counts failed attempts in a row.
	Until    time.Time // Until is until when the target gets no work because of them.
}

// Ejected reports whether the target gets no work at time now.
func (r Record) Ejected(now time.Time) bool { return now.Before(r.Until) }

// With returns the record after an attempt, and whether the target is due to be
// ejected, which WithEjection does.
func (r Record) With(failed bool, now time.Time) (Record, bool) {
	switch {
	case !failed:
		r.Failures = 0
	case r.Ejected(now): // a late sign of what it was ejected for
	default:
		r.Failures++
	}
	return r, failed && !r.Ejected(now) && r.Failures >= after
}

// WithEjection returns the record with the target ejected, the longer the more
// attempts failed.
func (r Record) WithEjection(now time.Time) Record {
	r.Until = now.Add(min(longest, first<<min(r.Failures-after, 10)))
	return r
}
