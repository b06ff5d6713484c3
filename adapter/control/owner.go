// Package control runs the single goroutine that owns a process's control state.
//
// Events go through a bounded mailbox. After each event, the new immutable state
// is published for traffic goroutines to read. The core decides what an event
// does; this package only orders events and never blocks on traffic.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"
)

const mailboxSize = 1024 // events

// Event changes a state of type S. Apply runs on the owner's goroutine.
type Event[S any] interface {
	Apply(state S, now time.Time) S
}

// Observer observes the state before and after each event. Observe runs on the
// owner's goroutine and must not block.
type Observer[S any] interface {
	Observe(before, after S)
}

// Owner owns a state of type S.
type Owner[S any] struct {
	tomb         tomb.Tomb
	mailbox      chan Event[S]
	current      atomic.Pointer[S] // written by run alone
	clock        func() time.Time
	observer     Observer[S]
	tickInterval time.Duration
	tickEvent    Event[S]
}

// Option configures an Owner.
type Option[S any] func(*Owner[S])

// WithObserver sets the observer that is called after each event.
func WithObserver[S any](observer Observer[S]) Option[S] {
	return func(o *Owner[S]) { o.observer = observer }
}

// WithTick applies event once per interval.
func WithTick[S any](interval time.Duration, event Event[S]) Option[S] {
	return func(o *Owner[S]) { o.tickInterval, o.tickEvent = interval, event }
}

// WithClock sets the clock that gives events the current time.
func WithClock[S any](clock func() time.Time) Option[S] {
	return func(o *Owner[S]) { o.clock = clock }
}

// New starts the goroutine that owns the state. Close stops it.
func New[S any](initial S, options ...Option[S]) *Owner[S] {
	o := &Owner[S]{mailbox: make(chan Event[S], mailboxSize), clock: time.Now, tickInterval: time.Hour}
	for _, option := range options {
		option(o)
	}
	o.current.Store(&initial)
	o.tomb.Go(o.run)
	return o
}

// Snapshot returns the state after the last event applied.
func (o *Owner[S]) Snapshot() S {
	return *o.current.Load()
}

// Send puts an event into the mailbox. It blocks while the mailbox is full, and
// returns an error if ctx ends or the owner is closed before the event is in it.
func (o *Owner[S]) Send(ctx context.Context, event Event[S]) error {
	select {
	case o.mailbox <- event:
		return nil
	case <-ctx.Done():
		return trace.LimitExceeded("the control mailbox stayed full; lower the load on this process")
	case <-o.tomb.Dying():
		return closedError()
	}
}

// Close stops the goroutine and waits until it has stopped.
func (o *Owner[S]) Close() error {
	o.tomb.Kill(nil)
	return o.tomb.Wait()
}

func (o *Owner[S]) run() error {
	ticker := time.NewTicker(o.tickInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-o.mailbox:
			o.apply(event)
		case <-ticker.C:
			if o.tickEvent != nil {
				o.apply(o.tickEvent)
			}
		case <-o.tomb.Dying():
			return nil
		}
	}
}

func (o *Owner[S]) apply(event Event[S]) {
	before := o.Snapshot()
	after := event.Apply(before, o.clock())
	o.current.Store(&after)
	if o.observer != nil {
		o.observer.Observe(before, after)
	}
}

// Ask calls decide on the owner's goroutine and returns its answer; the state that
// decide returns becomes the owner's state. Only the wait for room in the
// mailbox ends with ctx: after that decide runs regardless of ctx, and Ask waits until
// it has the answer or the owner has stopped.
func Ask[S, R any](ctx context.Context, o *Owner[S], decide func(S, time.Time) (S, R)) (R, error) {
	q := question[S, R]{decide: decide, answer: make(chan R, 1)}
	if err := o.Send(ctx, q); err != nil {
		var none R
		return none, err
	}
	select {
	case answer := <-q.answer:
		return answer, nil
	case <-o.tomb.Dead():
		var none R
		return none, closedError()
	}
}

// question is the event that Ask sends.
type question[S, R any] struct {
	decide func(S, time.Time) (S, R)
	answer chan R
}

// Apply calls decide and sends its answer. It doesn't block, since the channel is
// buffered.
func (q question[S, R]) Apply(state S, now time.Time) S {
	state, answer := q.decide(state, now)
	q.answer <- answer
	return state
}

// Change adapts a function to an Event.
type Change[S any] func(state S, now time.Time) S

// Apply calls the function.
func (c Change[S]) Apply(state S, now time.Time) S { return c(state, now) }

func closedError() error {
	return trace.ConnectionProblem(nil, "this process is closing; ask another instance")
}
