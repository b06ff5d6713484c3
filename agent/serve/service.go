// Package serve runs requests at one target. The control goroutine decides on each
// request; other goroutines run it and read its answer.
//
// The package is independent of the message formats of entry instances and of the
// target.
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
	sweepInterval       = time.Second
	defaultBlockTimeout = 5 * time.Second
)

// ErrNotSent is the cause of a failure before any byte was sent to the target.
var ErrNotSent = errors.New("the target can't be reached")

// Call is one call to the target.
type Call struct {
	ID          string
	Attempt     int
	Name        string
	ContentType string // ContentType is that of Body.
	Body        []byte
	Offset      uint64 // Offset is where in the answer the target is to start, in bytes.
}

// Sink receives the answer of a call.
type Sink interface {
	Begin(head answer.Head)
	Write(ctx context.Context, p []byte) error
}

// Engine makes calls to the target. An error that wraps ErrNotSent guarantees that
// the call did not run.
type Engine interface {
	Run(ctx context.Context, call Call, sink Sink) error
}

// Meter records metrics.
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
	engine       Engine
	meter        Meter
	journal      Journal
	blockTimeout time.Duration // how long a reader may block the answer of a resumable run

	owner         *control.Owner[target.State]
	reportChanged control.Signal            // raised when an event changes a field of the report other than Running
	idle          control.Signal            // raised when no request is running and no reader is left
	ordersChanged control.Signal            // raised when the state of the orders changes
	answers       map[string]*answer.Answer // kept answers by ticket ID; accessed only by the control goroutine
}

// Option configures a Service.
type Option func(*Service)

// WithBlockTimeout sets how long a reader may block the answer of a resumable run
// before the run is paused.
func WithBlockTimeout(timeout time.Duration) Option {
	return func(s *Service) { s.blockTimeout = timeout }
}

// New returns a service with the initial state.
func New(state target.State, engine Engine, meter Meter, journal Journal, options ...Option) *Service {
	s := &Service{engine: engine, meter: meter, journal: journal, blockTimeout: defaultBlockTimeout, answers: map[string]*answer.Answer{}}
	for _, option := range options {
		option(s)
	}
	s.owner = control.New(state,
		control.WithObserver[target.State](s),
		control.WithTick[target.State](sweepInterval, control.Change[target.State](s.sweep)))
	return s
}

// Close stops the control goroutine. It doesn't stop runs, which end at their own
// deadlines; Drain waits for them.
func (s *Service) Close() error {
	return s.owner.Close()
}

// State returns the current state.
func (s *Service) State() target.State {
	return s.owner.Snapshot()
}

// Observe logs the changes of the audit trail, updates the gauges and notifies the
// goroutines that wait for a change. The control goroutine calls it after each event.
func (s *Service) Observe(before, after target.State) {
	s.journal.Changes(before.Trail, after.Trail)
	if now := time.Now(); before.Taking() != after.Taking() || before.Limit(now) != after.Limit(now) ||
		before.Configuration.Version != after.Configuration.Version || before.Entries() != after.Entries() {
		s.reportChanged.Raise()
	}
	if before.Orders != after.Orders {
		s.ordersChanged.Raise()
	}
	if after.Idle() {
		s.idle.Raise()
	}
	s.meter.Gauge("running", float64(after.Running))
	s.meter.Gauge("held", float64(after.Held()))
	s.meter.Gauge("ledger", float64(after.Ledger.Len()))
}

// Report returns the report for entry instances, and a channel that is closed when
// an event changes a field other than Running. During a ramp-up Limit also rises with
// time, which doesn't close the channel.
func (s *Service) Report() (entry.Report, <-chan struct{}) {
	wait := s.reportChanged.Wait()
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

// AddWatcher counts one more entry instance of a failure domain that watches the
// agent, until the returned function is called.
func (s *Service) AddWatcher(domain string) func() {
	s.addWatchers(domain, 1)
	return func() { s.addWatchers(domain, -1) }
}

func (s *Service) addWatchers(domain string, change int) {
	s.change(func(state target.State, _ time.Time) target.State { return state.WithWatchers(domain, change) })
}

// Loaded records what the target's engine has loaded, as it reported in reply to a
// query sent at time asked.
func (s *Service) Loaded(load string, asked time.Time) {
	s.change(func(state target.State, _ time.Time) target.State {
		state.Orders = state.Orders.WithLoaded(load, asked)
		return state
	})
}

// NextOrder returns the order to send to the engine now, or nil if there is none,
// and a channel that is closed when that may have changed. The order is in progress
// until EndOrder.
func (s *Service) NextOrder(ctx context.Context) (*order.Order, <-chan struct{}) {
	wait := s.ordersChanged.Wait()
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

// StaleOrder reports whether an order is no longer in progress or no longer wanted.
func (s *Service) StaleOrder(o order.Order) bool {
	return s.State().Orders.Stale(o)
}

// EndOrder records that an order ended; done reports whether the engine confirmed it.
func (s *Service) EndOrder(o order.Order, done bool) {
	s.change(func(state target.State, now time.Time) target.State {
		state.Orders = state.Orders.WithEnded(o, done, now)
		return state
	})
}

// Reached records whether the target answered the latest probe.
func (s *Service) Reached(reached bool) {
	if s.State().Reached() == reached {
		return
	}
	s.change(func(state target.State, now time.Time) target.State { return state.WithReached(reached, now) })
}

// Restarted records that the target's process was replaced by another.
func (s *Service) Restarted(cause string) {
	s.change(func(state target.State, now time.Time) target.State { return state.WithRestart(cause, now) })
}

func (s *Service) change(change control.Change[target.State]) {
	_ = s.owner.Send(context.Background(), change)
}

// Offer handles a published configuration. It takes effect only if it is newer than
// the one in force and has no faults.
func (s *Service) Offer(offered fleet.Configuration, faults []fleet.Fault) {
	s.change(func(state target.State, now time.Time) target.State {
		return state.WithConfiguration(offered, faults, now)
	})
}

// Failed logs and counts a failure to read the platform or another source of
// configurations.
func (s *Service) Failed(err error) {
	s.meter.Inc("platform", "failed")
	s.journal.Event("platform failed", "error", err)
}

// Request is one request of an entry instance.
type Request struct {
	target.Request
	Attempt     int           // Attempt is the number of the attempt, as counted by the entry instance.
	Remaining   time.Duration // Remaining is the time until the deadline.
	ContentType string
	Body        []byte
	Offset      uint64 // Offset is the number of bytes of the answer that the caller already has.
}

// AnswerReader reads the answer of a request. The caller must call Close when done.
type AnswerReader struct {
	*answer.Reader
	service *Service
	cancel  context.CancelFunc // cancels the run if the answer is not kept
}

// Close releases the reader, and cancels the run if its answer is not kept.
func (r *AnswerReader) Close() {
	r.cancel()
	r.service.change(func(state target.State, _ time.Time) target.State { return state.ReleaseReader() })
}

// decision is a verdict and, unless it is a refusal, the answer to read.
type decision struct {
	target.Verdict
	answer *answer.Answer
}

// Serve starts a request or attaches to the recorded run of its ticket, and returns
// a reader of the answer. If it returns a refusal, this call started nothing.
func (s *Service) Serve(ctx context.Context, r Request) (*AnswerReader, *refusal.Refusal) {
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
		return &AnswerReader{Reader: answer.NewReader(d.answer, r.Offset), service: s, cancel: func() {}}, nil
	}
	run := newRun(s, r, d.answer, d.Kept)
	go run.run()
	return &AnswerReader{Reader: answer.NewReader(d.answer, r.Offset), service: s, cancel: run.cancelUnlessKept}, nil
}

// Void prevents the request of a ticket from starting, if it has not started, and
// returns the request's stage.
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

// Leave stops the target from taking new work.
func (s *Service) Leave(cause string) {
	s.change(func(state target.State, now time.Time) target.State {
		return state.WithLeaving(cause, now)
	})
}

// Drain waits until no request is running and no reader is left. It returns an
// error if ctx ends first.
func (s *Service) Drain(ctx context.Context) error {
	if !s.idle.Await(ctx, func() bool { return s.State().Idle() }) {
		return trace.LimitExceeded("%d requests were still running when the drain time ended; raise the drain setting", s.State().Running)
	}
	return nil
}

// begin decides on a request and creates or looks up its answer. It runs on the
// control goroutine.
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

// sweep deletes expired ledger records and their answers. It runs on the control
// goroutine.
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
