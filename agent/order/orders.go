// Package order sends orders to a target's engine, one at a time. An order asks the
// engine to load a model, an adapter or a version. Package core/order decides which
// orders to send.
package order

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/core/order"
)

const (
	orderTimeout = 10 * time.Minute // loading a model can take minutes
	retryDelay   = time.Second      // delay after a failed order
)

// Engine carries out orders.
type Engine interface {
	Order(ctx context.Context, o order.Order) error
}

// Control decides which orders to send.
type Control interface {
	// NextOrder returns the order to send now, or nil if there is none, and a channel
	// that is closed when that may have changed.
	NextOrder(ctx context.Context) (*order.Order, <-chan struct{})
	// StaleOrder reports whether an order must no longer be sent.
	StaleOrder(o order.Order) bool
	// EndOrder records that an order ended; done reports whether the engine confirmed it.
	EndOrder(o order.Order, done bool)
}

// Journal writes events.
type Journal interface {
	Event(event string, pairs ...any)
}

// Sender sends orders to one engine.
type Sender struct {
	tomb    tomb.Tomb
	control Control
	engine  Engine
	journal Journal
}

// New returns a Sender that sends orders to engine until Close.
func New(control Control, engine Engine, journal Journal) *Sender {
	s := &Sender{control: control, engine: engine, journal: journal}
	s.tomb.Go(s.run)
	return s
}

// Close cancels the order in progress and waits for the sender to stop.
func (s *Sender) Close() error {
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

func (s *Sender) run() error {
	ctx := s.tomb.Context(context.Background())
	for s.tomb.Alive() {
		next, changed := s.control.NextOrder(ctx)
		if next != nil {
			s.send(ctx, *next)
			continue
		}
		select {
		case <-changed:
		case <-s.tomb.Dying():
		}
	}
	return nil
}

// send sends an order, unless it became stale while the process was paused. It
// records the end of a failed order only after retryDelay, so that the next order is
// delayed too.
func (s *Sender) send(ctx context.Context, next order.Order) {
	if s.control.StaleOrder(next) {
		s.control.EndOrder(next, false)
		return
	}
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := s.engine.Order(orderCtx, next)
	s.journal.Event("order", "load", next.Load, "version", next.Fence.Version, "count", next.Fence.Count, "done", err == nil)
	if err != nil {
		clock.Pause(ctx, retryDelay)
	}
	s.control.EndOrder(next, err == nil)
}
