// Package eject decides for how long a target gets no work after attempts at it
// failed in a row.
//
// It also bounds how many targets of a service are ejected at once, so that a bad
// network doesn't eject them all.
package eject

import "time"

// Bounds on ejection.
const (
	after   = 3 // failures in a row
	first   = time.Second
	longest = 30 * time.Second
	divisor = 2 // at most one target of a service in so many is ejected
)

// Record is what is known of the latest attempts at a target. The zero value
// has seen none.
type Record struct {
	Failures int       // Failures counts failed attempts in a row.
	EjectedUntil    time.Time // Until is until when the target gets no work because of them.
}

// Ejected reports whether the target gets no work at time now.
func (r Record) Ejected(now time.Time) bool { return now.Before(r.EjectedUntil) }

// WithResult returns the record after an attempt, and whether the target is due to be
// ejected, which WithEjection does.
func (r Record) WithResult(failed bool, now time.Time) (Record, bool) {
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
	r.EjectedUntil = now.Add(min(longest, first<<min(r.Failures-after, 10)))
	return r
}

// WithAttempt returns the record after an attempt, and whether the target was
// ejected for it: after several failures in a row, unless that would leave too
// few targets of its service. Where that is due, service tells how many others
// are ejected, of how many targets.
func (r Record) WithAttempt(failed bool, service func() (ejected, targets int), now time.Time) (Record, bool) {
	r, due := r.WithResult(failed, now)
	if !due {
		return r, false
	}
	if ejected, targets := service(); (ejected+1)*divisor > targets {
		return r, false
	}
	return r.WithEjection(now), true
}
