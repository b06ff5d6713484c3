// Package control runs the one goroutine of a process that owns control state.
//
// Events go through a bounded mailbox; after each, the new immutable state is
// published for traffic goroutines to read. What an event decides belongs to
// the core; this package only orders events and never blocks on traffic.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"
)

const defaultMailbox = 1024

// Event changes state of type S. Apply runs on the owner's goroutine.
type Event[S any] interface {
	Apply(state S, now time.Time) S
}

// Observer is told of each change on the owner's goroutine; it must not block.
type Observer[S any] interface {
	Observe(before, after S)
}

// Owner owns a state of type S.
type Owner[S any] struct {
	tomb     tomb.Tomb
	mailbox  chan Event[S]
	current  atomic.Pointer[S] // written by run alone
	clock    func() time.Time
	observer Observer[S]
	tick     time.Duration
	ticked   Event[S]
}

// Option configures an Owner.
type Option[S any] func(*Owner[S])

// WithObserver sets who is told of each change.
func WithObserver[S any](observer Observer[S]) Option[S] {
	return func(o *Owner[S]) { o.observer = observer }
}

// WithTick applies event at every interval.
func WithTick[S any](interval time.Duration, event Event[S]) Option[S] {
	return func(o *Owner[S]) { o.tick, o.ticked = interval, event }
}

// WithClock sets the clock that events are decided by.
func WithClock[S any](clock func() time.Time) Option[S] {
	return func(o *Owner[S]) { o.clock = clock }
}

// New starts the goroutine that owns a state. Close ends it.
func New[S any](initial S, options ...Option[S]) *Owner[S] {
	o := &Owner[S]{mailbox: make(chan Event[S], defaultMailbox), clock: time.Now, tick: time.Hour}
	for _, option := range options {
		option(o)
	}
	o.current.Store(&initial)
	o.tomb.Go(o.run)
	return o
}

// Snapshot returns the state after the latest event.
func (o *Owner[S]) Snapshot() S {
	return *o.current.Load()
}

// Send puts an event into the mailbox and waits for room as long as ctx allows.
func (o *Owner[S]) Send(ctx context.Context, event Event[S]) error {
	select {
	case o.mailbox <- event:
		return nil
	case <-ctx.Done():
		return trace.LimitExceeded("the control mailbox stayed full; lower the load on this process")
	case <-o.tomb.Dying():
		return closed()
	}
}

// Close ends the goroutine and waits for it.
func (o *Owner[S]) Close() error {
	o.tomb.Kill(nil)
	return o.tomb.Wait()
}

func (o *Owner[S]) run() error {
	ticker := time.NewTicker(o.tick)
	defer ticker.Stop()
	for {
		select {
		case event := <-o.mailbox:
			o.apply(event)
		case <-ticker.C:
			if o.ticked != nil {
				o.apply(o.ticked)
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

// Ask has the owner decide something and returns the answer. Once the question
// is in the mailbox it is decided, so Ask then waits whatever becomes of ctx.
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
		return none, closed()
	}
}

type question[S, R any] struct {
	decide func(S, time.Time) (S, R)
	answer chan R
}

// Apply decides and hands the answer over; its channel has room for it.
func (q question[S, R]) Apply(state S, now time.Time) S {
	state, answer := q.decide(state, now)
	q.answer <- answer
	return state
}

// Change is an event made of a function.
type Change[S any] func(state S, now time.Time) S

// Apply calls the function.
func (c Change[S]) Apply(state S, now time.Time) S { return c(state, now) }

func closed() error {
	return trace.ConnectionProblem(nil, "this process is closing; ask another instance")
}
