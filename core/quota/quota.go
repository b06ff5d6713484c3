// Package quota spaces out the requests to a target that takes a limited number of
// requests a second from all gateways together.
//
// It answers a load that many gateways share unevenly: a fixed share for each would leave
// most of the limit unused while a few have all the requests. Instead, one gateway keeps
// the schedule of a target, and the others ask it for a permit before each request.
package quota

import (
	"math"
	"time"
)

const (
	burst       = 2               // requests at once, if the rate allows one a second or more
	maxInterval = 5 * time.Second // between requests to a target that takes fewer or none: only an answer tells that it takes more again
)

// Interval returns the time between evenly spaced requests at a rate in requests a second.
func Interval(rate float64) time.Duration {
	if rate*maxInterval.Seconds() <= 1 {
		return maxInterval
	}
	return time.Duration(math.Ceil(float64(time.Second) / rate))
}

// Schedule says when a target may get its next request. Within any span of time it admits
// the rate times the span and burst requests. The zero value is the schedule of a target
// that got none yet.
type Schedule struct {
	due      time.Time     // when the next request is due if they are evenly spaced
	interval time.Duration // at the latest reservation
}

// dueAt returns when the next request is due at a rate. If the rate rose, it is due
// within one interval.
func (s Schedule) dueAt(rate float64, now time.Time) time.Time {
	interval := Interval(rate)
	if interval < s.interval && s.due.After(now.Add(interval)) {
		return now.Add(interval)
	}
	return s.due
}

// Earliest returns when the target may get another request at a rate.
func (s Schedule) Earliest(rate float64, now time.Time) time.Time {
	due := s.dueAt(rate, now)
	if interval := Interval(rate); interval <= time.Second {
		due = due.Add(-(burst - 1) * interval)
	}
	return later(due, now)
}

// Reserve returns the schedule with one more request, and when it may be sent. It returns
// false and the schedule as it was if that is later than wait from now.
func (s Schedule) Reserve(rate float64, wait time.Duration, now time.Time) (Schedule, time.Time, bool) {
	start := s.Earliest(rate, now)
	if start.Sub(now) > wait {
		return s, start, false
	}
	interval := Interval(rate)
	return Schedule{due: later(s.dueAt(rate, now), start).Add(interval), interval: interval}, start, true
}

// IdleSince reports whether no request was due after a time.
func (s Schedule) IdleSince(at time.Time) bool { return s.due.Before(at) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
