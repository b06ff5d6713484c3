// Package order decides which orders a target's agent sends to its engine. An
// order asks the engine to load a model, an adapter or a version of one. The name
// of what an engine has loaded or should load is called its load.
//
// Some engines refuse orders with an old fencing number, others ignore the
// number. Therefore at most one order is in progress at a time, and every load
// that the engine reports is compared with the wanted one.
package order

import "time"

// Fence is a fencing number. It increases with each configuration version and,
// within a version, with each order.
type Fence struct {
	Version uint64 // Version is that of the configuration that requires the order.
	Count   uint64 // Count increases with each order, also across restarts of the agent.
}

// Newer reports whether f is greater than the other fencing number.
func (f Fence) Newer(than Fence) bool {
	if f.Version != than.Version {
		return f.Version > than.Version
	}
	return f.Count > than.Count
}

// Order asks an engine to load something.
type Order struct {
	Fence Fence
	Load  string // Load names the model, adapter and version in the engine's own notation.
}

// State is the state of an agent's orders. In the zero value no load is wanted.
type State struct {
	version uint64 // of the configuration that set wanted
	wanted  string
	loaded  string    // last load that the engine reported or confirmed
	known   bool      // whether the engine has reported its load
	count   uint64    // of the last order
	sent    *Order    // order in progress, or nil
	ended   time.Time // when the last order ended
}

// WithWanted returns the state with the load that a configuration specifies. A
// configuration older than the current one is ignored.
func (s State) WithWanted(version uint64, load string) State {
	if version < s.version {
		return s
	}
	s.version, s.wanted = version, load
	return s
}

// WithLoaded returns the state after the engine reported its load in reply to a
// query sent at time asked. If the query was sent before the last order ended,
// the report is stale and is ignored.
func (s State) WithLoaded(load string, asked time.Time) State {
	if asked.Before(s.ended) {
		return s
	}
	s.loaded, s.known = load, true
	return s
}

// Next returns the order to send at time now, or nil. It returns nil while an
// order is in progress, and until the engine has reported its load: otherwise a
// restarted agent would repeat the orders of the previous process. Counts are at
// least the Unix time in milliseconds, so that they exceed those of the previous
// process.
func (s State) Next(now time.Time) (State, *Order) {
	if !s.known || s.wanted == "" || s.wanted == s.loaded || s.sent != nil {
		return s, nil
	}
	s.count = max(s.count+1, uint64(now.UnixMilli()))
	next := Order{Fence: Fence{Version: s.version, Count: s.count}, Load: s.wanted}
	s.sent = &next
	return s, &next
}

// InProgress reports whether an order was returned by Next and has not ended.
func (s State) InProgress() bool { return s.sent != nil }

// Stale reports whether the order is no longer in progress or no longer wanted.
// The agent checks this just before it sends the order, since the process may
// have been paused after Next.
func (s State) Stale(o Order) bool {
	return s.sent == nil || *s.sent != o || o.Load != s.wanted
}

// WithEnded returns the state after an order ended at time now; done is whether
// the engine confirmed it. The engine may have carried out an unconfirmed order;
// its next report shows whether it did.
func (s State) WithEnded(o Order, done bool, now time.Time) State {
	if s.sent != nil && *s.sent == o {
		s.sent, s.ended = nil, now
	}
	if done {
		s.loaded = o.Load
	}
	return s
}
