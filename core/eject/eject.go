// Package eject decides when a target that failed several attempts in a row is
// ejected, that is, gets no requests for a while.
//
// It also limits the share of a service's targets that is ejected at once, so
// that a network fault doesn't eject them all.
package eject

import "time"

// Limits on ejection.
const (
	minFailures    = 3 // consecutive failures before an ejection
	firstEjection  = time.Second
	maxEjection    = 30 * time.Second
	ejectedDivisor = 2 // at most 1/ejectedDivisor of a service's targets are ejected at once
)

// Record holds the results of the latest attempts at a target. The zero value
// has no attempts.
type Record struct {
	Failures     int       // Failures counts consecutive failed attempts.
	EjectedUntil time.Time // EjectedUntil is when the latest ejection ends; zero if there was none.
}

// Ejected reports whether the target is ejected at time now.
func (r Record) Ejected(now time.Time) bool { return now.Before(r.EjectedUntil) }

// WithResult returns the record after an attempt, and reports whether the
// target is due for ejection. WithEjection ejects it.
func (r Record) WithResult(failed bool, now time.Time) (Record, bool) {
	switch {
	case !failed:
		r.Failures = 0
	case r.Ejected(now): // the attempt began before the ejection and isn't counted
	default:
		r.Failures++
	}
	return r, failed && !r.Ejected(now) && r.Failures >= minFailures
}

// WithEjection returns the record with the target ejected. The ejection lasts
// firstEjection and doubles with each further failure, up to maxEjection.
func (r Record) WithEjection(now time.Time) Record {
	r.EjectedUntil = now.Add(min(maxEjection, firstEjection<<min(r.Failures-minFailures, 10)))
	return r
}

// WithAttempt returns the record after an attempt, and reports whether the
// target was ejected because of it: after minFailures consecutive failures,
// unless too many targets of its service would then be ejected. countOthers
// returns the number of other ejected targets and the number of all targets of the
// service; it is called only if an ejection is due.
func (r Record) WithAttempt(failed bool, countOthers func() (ejected, targets int), now time.Time) (Record, bool) {
	r, due := r.WithResult(failed, now)
	if !due {
		return r, false
	}
	if ejected, targets := countOthers(); (ejected+1)*ejectedDivisor > targets {
		return r, false
	}
	return r.WithEjection(now), true
}
