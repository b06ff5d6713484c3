// Package serve runs requests at one target: it has the control goroutine
// decide, starts what is to start, and hands out answers.
//
// It knows neither the messages of entry instances nor those of the target.
package serve

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"hornbeamtray/adapter/control"
	"hornbeamtray/agent/answer"
	"hornbeamtray/core/entry"
	"hornbeamtray/core/fleet"
	"hornbeamtray/core/ledger"
	"hornbeamtray/core/order"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/target"
	"hornbeamtray/core/ticket"
	"hornbeamtray/core/trail"
)

const (
	sweepInterval  = time.Second
	defaultRelease = 5 * time.Second
)

// ErrNotSent is the cause of a failure that came before any byte reached the target.
var ErrNotSent = errors.New("the target can't be reached")

// Call is one call of the target.
type Call struct {
	ID      string
	Attempt int
	Name    string
	Content string // Content is the body's content type.
	Body    []byte
	Offset  uint64 // Offset is the first byte of the answer that is needed.
}

// Sink takes the answer of a call.
type Sink interface {
	Begin(head answer.Head)
	Write(ctx context.Context, p []byte) error
}

// Engine makes calls of the target. An error that wraps ErrNotSent proves that
// the call did not run.
type Engine interface {
	Run(ctx context.Context, call Call, sink Sink) error
}

// Meter counts what the agent does.
type Meter interface {
	Inc(name, kind string)
	Gauge(name string, value float64)
}

// Journal writes events.
type Journal interface {
	Event(event string, pairs ...any)
	Changes(before, after trail.Trail)
}

// Service serves one target.
type Service struct {
	engine  Engine
	meter   Meter
	journal Journal
	release time.Duration // how long a reader may block an answer

	owner   *control.Owner[target.State]
	changed control.Signal            // raised when the report to entries changes
	quiet   control.Signal            // raised when nothing runs and nobody reads
	ordered control.Signal            // raised when what is to be ordered may have changed
	answers map[string]*answer.Answer // kept answers by ticket ID, owned by the control goroutine
}

// Option configures a Service.
type Option func(*Service)

// WithRelease sets how long a reader may block an answer before the run behind
// it is let go for a while.
func WithRelease(release time.Duration) Option {
	return func(s *Service) { s.release = release }
}

// New returns a service that starts from state.
func New(state target.State, engine Engine, meter Meter, journal Journal, options ...Option) *Service {
	s := &Service{engine: engine, meter: meter, journal: journal, release: defaultRelease, answers: map[string]*answer.Answer{}}
	for _, option := range options {
		option(s)
	}
	s.owner = control.New(state,
		control.WithObserver[target.State](s),
		control.WithTick[target.State](sweepInterval, control.Change[target.State](s.sweep)))
	return s
}

// Close ends the control goroutine. Runs end by their own deadlines; Drain waits for them.
func (s *Service) Close() error {
	return s.owner.Close()
}

// State returns the present state.
func (s *Service) State() target.State {
	return s.owner.Snapshot()
}

// Observe logs changes and wakes those who wait for them.
func (s *Service) Observe(before, after target.State) {
	s.journal.Changes(before.Trail, after.Trail)
	if now := time.Now(); before.Taking() != after.Taking() || before.Limit(now) != after.Limit(now) ||
		before.Configuration.Version != after.Configuration.Version || before.Entries() != after.Entries() {
		s.changed.Raise()
	}
	if before.Orders != after.Orders {
		s.ordered.Raise()
	}
	if after.Idle() {
		s.quiet.Raise()
	}
	s.meter.Gauge("running", float64(after.Running))
	s.meter.Gauge("held", float64(after.Held()))
	s.meter.Gauge("ledger", float64(after.Ledger.Len()))
}

// Report returns what entries are to know, and a channel that is closed when it changes.
func (s *Service) Report() (entry.Report, <-chan struct{}) {
	wait := s.changed.Wait()
	state := s.State()
	return entry.Report{
		Incarnation: state.Incarnation,
		Running:     state.Running,
		Limit:       state.Limit(time.Now()),
		Taking:      state.Taking(),
		Version:     state.Configuration.Version,
		Entries:     state.Entries(),
	}, wait
}

// Watched counts an entry instance of a failure domain that watches the agent,
// until the returned function is called.
func (s *Service) Watched(domain string) func() {
	s.watch(domain, 1)
	return func() { s.watch(domain, -1) }
}

func (s *Service) watch(domain string, change int) {
	s.change(func(state target.State, _ time.Time) target.State { return state.WithWatchers(domain, change) })
}

// Loaded takes note of what the target's engine said, when asked at that time,
// that it has loaded.
func (s *Service) Loaded(load string, asked time.Time) {
	s.change(func(state target.State, _ time.Time) target.State {
		state.Orders = state.Orders.WithLoaded(load, asked)
		return state
	})
}

// NextOrder returns the order to give the engine now, nil where there is none,
// and a channel that is closed when that may have changed.
func (s *Service) NextOrder(ctx context.Context) (*order.Order, <-chan struct{}) {
	wait := s.ordered.Wait()
	next, err := control.Ask(ctx, s.owner, func(state target.State, now time.Time) (target.State, *order.Order) {
		var next *order.Order
		state.Orders, next = state.Orders.Next(now)
		return state, next
	})
	if err != nil {
		return nil, wait
	}
	return next, wait
}

// StaleOrder reports whether an order that was to be given is no longer wanted.
func (s *Service) StaleOrder(o order.Order) bool {
	return s.State().Orders.Stale(o)
}

// EndOrder takes note that an order came to its end.
func (s *Service) EndOrder(o order.Order, done bool) {
	s.change(func(state target.State, now time.Time) target.State {
		state.Orders = state.Orders.WithEnded(o, done, now)
		return state
	})
}

// Reached takes note of whether the target itself answered.
func (s *Service) Reached(reached bool) {
	if s.State().Reached() == reached {
		return
	}
	s.change(func(state target.State, now time.Time) target.State { return state.WithReached(reached, now) })
}

// Restarted takes note that the target started anew.
func (s *Service) Restarted(cause string) {
	s.change(func(state target.State, now time.Time) target.State { return state.WithRestart(cause, now) })
}

func (s *Service) change(change control.Change[target.State]) {
	_ = s.owner.Send(context.Background(), change)
}

// Offer hands over a published configuration.
func (s *Service) Offer(offered fleet.Configuration, faults []fleet.Fault) {
	s.change(func(state target.State, now time.Time) target.State {
		return state.WithConfiguration(offered, faults, now)
	})
}

// Failed logs that the platform could not be read.
func (s *Service) Failed(err error) {
	s.meter.Inc("platform", "failed")
	s.journal.Event("platform failed", "error", err)
}

// Request is one request of an entry instance.
type Request struct {
	target.Request
	Attempt   int
	Remaining time.Duration // Remaining is the time until the deadline.
	Content   string
	Body      []byte
	Offset    uint64
}

// Reading is an answer being given. Close must be called when the reader is done.
type Reading struct {
	*answer.Reader
	service *Service
	cancel  context.CancelFunc // ends the run where the answer is not kept
}

// Close ends the reading, and the run behind an answer that is not kept.
func (r *Reading) Close() {
	r.cancel()
	r.service.change(func(state target.State, _ time.Time) target.State { return state.ReleaseReader() })
}

// decision is a verdict with the answer that belongs to it.
type decision struct {
	target.Verdict
	answer *answer.Answer
}

// Serve starts a request or joins the run on record. A refusal means that this
// call started nothing.
func (s *Service) Serve(ctx context.Context, r Request) (*Reading, *refusal.Refusal) {
	d, err := control.Ask(ctx, s.owner, func(state target.State, now time.Time) (target.State, decision) {
		return s.begin(state, r, now)
	})
	if err != nil {
		refused := refusal.New(refusal.Closing, refusal.Unknown, trace.UserMessage(err)).WithRetry(0)
		return nil, &refused
	}
	s.meter.Inc("requests", actionName(d.Action))
	switch d.Action {
	case target.Refuse:
		return nil, &d.Refusal
	case target.Attach:
		return &Reading{Reader: answer.NewReader(d.answer, r.Offset), service: s, cancel: func() {}}, nil
	}
	run := newRun(s, r, d.answer, d.Kept)
	go run.run()
	return &Reading{Reader: answer.NewReader(d.answer, r.Offset), service: s, cancel: run.leave}, nil
}

// Void asks that the request of a ticket never start.
func (s *Service) Void(ctx context.Context, t ticket.Ticket) (ledger.Stage, error) {
	stage, err := control.Ask(ctx, s.owner, func(state target.State, now time.Time) (target.State, ledger.Stage) {
		return state.Void(t, now)
	})
	if err != nil {
		return ledger.Absent, err
	}
	s.meter.Inc("voids", stageName(stage))
	return stage, nil
}

// Leave has the target take no new work.
func (s *Service) Leave(cause string) {
	s.change(func(state target.State, now time.Time) target.State {
		return state.WithLeaving(cause, now)
	})
}

// Drain waits until nothing runs and nobody reads, or until ctx ends.
func (s *Service) Drain(ctx context.Context) error {
	if !s.quiet.Await(ctx, func() bool { return s.State().Idle() }) {
		return trace.LimitExceeded("%d requests still ran when the drain time ended; raise the drain setting", s.State().Running)
	}
	return nil
}

// begin runs on the control goroutine.
func (s *Service) begin(state target.State, r Request, now time.Time) (target.State, decision) {
	state, verdict := state.Begin(r.Request, now)
	d := decision{Verdict: verdict}
	switch verdict.Action {
	case target.Start:
		d.answer = answer.New(verdict.Kept, state.AnswerBytes(), r.Offset)
		if verdict.Kept {
			s.answers[r.Ticket.ID] = d.answer
		}
	case target.Attach:
		d.answer = s.answers[r.Ticket.ID]
	}
	return state, d
}

// sweep runs on the control goroutine.
func (s *Service) sweep(state target.State, now time.Time) target.State {
	state, dropped := state.Swept(now)
	for _, id := range dropped {
		delete(s.answers, id)
	}
	return state
}

func actionName(a target.Action) string {
	return [...]string{target.Refuse: "refused", target.Start: "started", target.Attach: "attached"}[a]
}

func stageName(s ledger.Stage) string {
	return [...]string{ledger.Absent: "absent", ledger.Started: "started", ledger.Finished: "finished", ledger.Voided: "voided"}[s]
}
