// Package order decides which orders a target's agent gives its engine: to load
// a model, an adapter or a version, or to change its role.
//
// An engine may refuse orders with an old fencing number or ignore the number,
// so there is one order at a time, and what the engine reports is compared with
// what is wanted again and again.
package order

import "time"

// Fence is a fencing number. It rises with each configuration, and within one
// with each order.
type Fence struct {
	Version uint64 // Version is the configuration that wants it.
	Count   uint64 // Count rises with each order, also from process to process.
}

// Newer reports whether an order with this number goes before one with the other.
func (f Fence) Newer(than Fence) bool {
	if f.Version != than.Version {
		return f.Version > than.Version
	}
	return f.Count > than.Count
}

// Order asks an engine to load something.
type Order struct {
	Fence Fence
	Load  string // Load names the model, adapter and version, as the engine knows it.
}

// State is what an agent knows of its orders. The zero value wants nothing.
type State struct {
	version uint64 // configuration that the wish is of
	wanted  string
	loaded  string // as the engine reported last
	known   bool   // the engine reported
	count   uint64
	sent    *Order    // in progress; there is one at the most
	ended   time.Time // when the last order came to its end
}

// WithWanted returns the state after a configuration wants something loaded.
// One older than the last changes nothing.
func (s State) WithWanted(version uint64, load string) State {
	if version < s.version {
		return s
	}
	s.version, s.wanted = version, load
	return s
}

// WithLoaded returns the state after the engine reported what it has loaded. It
// was asked at time asked; what it said before the last order's end is past.
func (s State) WithLoaded(load string, asked time.Time) State {
	if asked.Before(s.ended) {
		return s
	}
	s.loaded, s.known = load, true
	return s
}

// Next returns the order to give at time now, if there is one. None is given
// while another is in progress, or before the engine said what it has loaded: a
// new process would order again what its forerunner had. Counts are at least the time in milliseconds, so
// that those of a new process go before its forerunner's.
func (s State) Next(now time.Time) (State, *Order) {
	if !s.known || s.wanted == "" || s.wanted == s.loaded || s.sent != nil {
		return s, nil
	}
	s.count = max(s.count+1, uint64(now.UnixMilli()))
	next := Order{Fence: Fence{Version: s.version, Count: s.count}, Load: s.wanted}
	s.sent = &next
	return s, &next
}

// InProgress reports whether an order has been given and has not ended.
func (s State) InProgress() bool { return s.sent != nil }

// Stale reports whether an order is no longer wanted. It is asked just before
// the order is sent, since the process may have been paused.
func (s State) Stale(o Order) bool {
	return s.sent == nil || *s.sent != o || o.Load != s.wanted
}

// WithEnded returns the state after an order came to its end at time now. One that
// was not done may have been carried out all the same; the next report tells.
func (s State) WithEnded(o Order, done bool, now time.Time) State {
	if s.sent != nil && *s.sent == o {
		s.sent, s.ended = nil, now
	}
	if done {
		s.loaded = o.Load
	}
	return s
}
