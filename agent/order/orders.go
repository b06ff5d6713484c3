// Package order gives a target's engine its orders, one at a time. What to order
// is decided by the core.
package order

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/core/order"
)

const (
	orderTimeout = 10 * time.Minute // loading a model takes long
	pauseTime    = time.Second      // after an order that failed
)

// Engine takes orders.
type Engine interface {
	Order(ctx context.Context, o order.Order) error
}

// Control knows what is to be ordered.
type Control interface {
	NextOrder(ctx context.Context) (*order.Order, <-chan struct{})
	StaleOrder(o order.Order) bool
	EndOrder(o order.Order, done bool)
}

// Journal writes events.
type Journal interface {
	Event(event string, pairs ...any)
}

// Orders gives one engine its orders.
type Orders struct {
	tomb    tomb.Tomb
	control Control
	engine  Engine
	journal Journal
}

// New gives orders to engine until Close.
func New(control Control, engine Engine, journal Journal) *Orders {
	o := &Orders{control: control, engine: engine, journal: journal}
	o.tomb.Go(o.run)
	return o
}

// Close gives up what is in progress and waits.
func (o *Orders) Close() error {
	o.tomb.Kill(nil)
	return o.tomb.Wait()
}

func (o *Orders) run() error {
	ctx := o.tomb.Context(context.Background())
	for o.tomb.Alive() {
		next, changed := o.control.NextOrder(ctx)
		if next != nil {
			o.give(ctx, *next)
			continue
		}
		select {
		case <-changed:
		case <-o.tomb.Dying():
		}
	}
	return nil
}

// give sends one order, unless the process slept until it was stale.
func (o *Orders) give(ctx context.Context, next order.Order) {
	if o.control.StaleOrder(next) {
		o.control.EndOrder(next, false)
		return
	}
	ordering, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.engine.Order(ordering, next)
	o.journal.Event("order", "load", next.Load, "version", next.Fence.Version, "count", next.Fence.Count, "done", err == nil)
	if err != nil {
		clock.Pause(ctx, pauseTime)
	}
	o.control.EndOrder(next, err == nil)
}
