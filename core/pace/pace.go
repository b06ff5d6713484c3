// Package pace estimates how long something takes from how long it took lately.
//
// The estimate is that of RFC 6298 for round trips: a moving mean and a moving mean
// deviation. It has an age, after which nothing is known any more.
package pace

import "time"

const (
	lifetime       = 10 * time.Second // without a new duration, after which the earlier ones say nothing of the present
	meanShift      = 3                // each duration moves the mean by 1/8 of the difference, as in RFC 6298
	deviationShift = 2                // and the deviation by 1/4 of the difference
	usualMargin    = 4                // deviations between the mean and Usual, as in RFC 6298
	likelyMargin   = 2                // deviations between the mean and Likely
)

// Pace is the estimate. The zero value is that of something that was never measured.
type Pace struct {
	mean, deviation time.Duration
	at              time.Time // of the latest duration; zero for never
}

// With returns the estimate after something took a duration that ended at time now.
func (p Pace) With(took time.Duration, now time.Time) Pace {
	if !p.Known(now) {
		return Pace{mean: took, deviation: took / 2, at: now}
	}
	p.deviation += ((took - p.mean).Abs() - p.deviation) >> deviationShift
	p.mean += (took - p.mean) >> meanShift
	p.at = now
	return p
}

// Known reports whether there is a recent estimate.
func (p Pace) Known(now time.Time) bool { return !p.at.IsZero() && now.Sub(p.at) <= lifetime }

// Mean returns the expected duration, or 0 if none is known.
func (p Pace) Mean(now time.Time) time.Duration {
	if !p.Known(now) {
		return 0
	}
	return p.mean
}

// Likely returns the duration that is mostly not exceeded, or 0 if none is known.
func (p Pace) Likely(now time.Time) time.Duration {
	if !p.Known(now) {
		return 0
	}
	return p.mean + likelyMargin*p.deviation
}

// Usual returns the duration that is rarely exceeded, or 0 if none is known.
func (p Pace) Usual(now time.Time) time.Duration {
	if !p.Known(now) {
		return 0
	}
	return p.mean + usualMargin*p.deviation
}
