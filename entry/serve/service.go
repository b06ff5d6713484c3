// Package serve handles requests of callers: it admits each request, sends it to a
// target's agent, and returns a complete answer or a truthful refusal.
//
// Package core/entry makes the decisions, on the control goroutine, and this package
// carries them out. It is independent of HTTP and of the messages between processes.
package serve

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/adapter/control"
	"hornbeamtray/core/entry"
	"hornbeamtray/core/fleet"
	"hornbeamtray/core/ledger"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/retry"
	"hornbeamtray/core/ticket"
	"hornbeamtray/core/trail"
)

// Defaults of a Service.
const (
	DefaultAgentTimeout  = 6 * time.Second // DefaultAgentTimeout is the default for WithAgentTimeout.
	DefaultMaxTargetWait = time.Second     // DefaultMaxTargetWait is the default for WithMaxTargetWait.
)

// Head is the head of an answer. It precedes the answer's bytes.
type Head struct {
	Status      int
	ContentType string
}

// Part is one message of an agent during an attempt. It carries a head, data, an end
// or a refusal; a part without any of these is a heartbeat.
type Part struct {
	ID         string // ID is that of the attempt's ticket.
	Attempt    int    // Attempt is the number of the attempt, from its Call.
	Head       *Head
	Offset     uint64 // Offset is the position of Data in the answer, in bytes.
	Data       []byte
	End        *End
	Refusal    *refusal.Refusal
	RunStarted bool // RunStarted reports whether the run had started before the refusal.

	Report *entry.Report // Report is the agent's state; it may be set along with an end or a refusal.
}

// End marks the end of an answer.
type End struct {
	Length uint64 // Length is that of the whole answer, in bytes.
	Digest uint64 // Digest is that of the bytes that the agent sent in this attempt.
}

// Call is the message that starts an attempt at an agent.
type Call struct {
	Ticket      ticket.Ticket
	Attempt     int // Attempt numbers the attempts of a request, from 1.
	Idempotent  bool
	Deadline    time.Time
	ContentType string
	Body        []byte
	Offset      uint64 // Offset is the number of bytes of the answer that the caller already has.
}

// Stream receives the parts of an answer from an agent.
type Stream interface {
	// Next waits for the next part and returns it. An error means that the
	// connection failed.
	Next() (Part, error)
	// Close ends the stream and releases its connection.
	Close()
}

// Agents sends calls to the agents of targets.
type Agents interface {
	// Serve sends a call to the agent at address and returns the stream of its
	// answer. An error means that no byte of the call was sent.
	Serve(ctx context.Context, address string, call Call) (Stream, error)
	// Void asks the agent at address to void a ticket, so that its request never
	// starts. It returns the resulting stage, which is Started or Finished if the
	// request had already started.
	Void(ctx context.Context, address string, t ticket.Ticket) (ledger.Stage, error)
}

// Writer writes an answer to a caller. An error means that the caller disconnected
// or stopped reading.
type Writer interface {
	WriteHead(t ticket.Ticket, head Head) error
	Write(p []byte) error
}

// Meter records metrics.
type Meter interface {
	Inc(name, kind string)
	Gauge(name string, value float64)
	Observe(name string, d time.Duration)
}

// Journal writes the log.
type Journal interface {
	Event(event string, pairs ...any)
	Changes(before, after trail.Trail)
}

// Service handles the requests of callers at one entry instance.
type Service struct {
	agents        Agents
	meter         Meter
	journal       Journal
	random        Random
	agentTimeout  time.Duration
	maxTargetWait time.Duration

	owner        *control.Owner[entry.State]
	configured   control.Signal     // raised when a configuration takes effect
	idle         control.Signal     // raised when no request is in flight
	abortContext context.Context    // canceled when requests in flight must be aborted
	abort        context.CancelFunc // cancels abortContext
}

// Option configures a Service.
type Option func(*Service)

// WithAgentTimeout sets how long an agent may send no part during an attempt. The
// attempt then fails after a grace period of a quarter of that time.
func WithAgentTimeout(timeout time.Duration) Option {
	return func(s *Service) { s.agentTimeout = timeout }
}

// WithMaxTargetWait bounds how long a request waits for a target that can take it,
// and for how long after its start it may be retried without retry budget.
func WithMaxTargetWait(wait time.Duration) Option {
	return func(s *Service) { s.maxTargetWait = wait }
}

// WithRandom sets the source of random numbers. It must be safe for concurrent use.
func WithRandom(random Random) Option {
	return func(s *Service) { s.random = random }
}

// New returns a service with this initial state and starts its control goroutine.
func New(state entry.State, agents Agents, meter Meter, journal Journal, options ...Option) *Service {
	s := &Service{
		agents: agents, meter: meter, journal: journal, random: globalRandom{},
		agentTimeout: DefaultAgentTimeout, maxTargetWait: DefaultMaxTargetWait,
	}
	for _, option := range options {
		option(s)
	}
	s.abortContext, s.abort = context.WithCancel(context.Background())
	s.owner = control.New(state, control.WithObserver[entry.State](s))
	return s
}

// Close aborts the requests in flight and stops the control goroutine.
func (s *Service) Close() error {
	s.abort()
	return s.owner.Close()
}

// State returns the current state.
func (s *Service) State() entry.State {
	return s.owner.Snapshot()
}

// Observe logs the changes of the audit trail, updates the gauges and notifies the
// goroutines that wait for a change. The control goroutine calls it after each event.
func (s *Service) Observe(before, after entry.State) {
	s.journal.Changes(before.Trail, after.Trail)
	if before.Configuration.Version != after.Configuration.Version {
		s.meter.Gauge("version", float64(after.Configuration.Version))
		s.configured.Raise()
	}
	if after.InFlight == 0 {
		s.idle.Raise()
	}
	if before.InFlight != after.InFlight {
		s.meter.Gauge("inflight", float64(after.InFlight))
	}
}

// Offer handles a published configuration. It takes effect only if it is newer than
// the one in force and has no faults.
func (s *Service) Offer(offered fleet.Configuration, faults []fleet.Fault) {
	s.change(func(state entry.State, now time.Time) entry.State {
		return state.WithConfiguration(offered, faults, now)
	})
}

// Failed logs and counts a failure to read the platform or another source of
// configurations.
func (s *Service) Failed(err error) {
	s.meter.Inc("platform", "failed")
	s.journal.Event("platform failed", "error", err)
}

// WatchedTargets returns the targets to watch, and a channel that is closed when
// another configuration takes effect.
func (s *Service) WatchedTargets() ([]fleet.Target, <-chan struct{}) {
	changed := s.configured.Wait()
	state := s.State()
	return entry.WatchedTargets(state.Configuration, state.Name, state.Domain), changed
}

// HandleReport handles a report of a target's agent.
func (s *Service) HandleReport(target string, report entry.Report) {
	s.change(func(state entry.State, now time.Time) entry.State {
		return state.WithReport(target, report, now)
	})
}

// HandleLost handles a failed connection to a target's agent.
func (s *Service) HandleLost(target string, err error) {
	s.change(func(state entry.State, now time.Time) entry.State {
		return state.WithLost(target, trace.UserMessage(err), now)
	})
}

// Listed handles the platform's list of targets that are leaving.
func (s *Service) Listed(leaving []string) {
	s.change(func(state entry.State, now time.Time) entry.State {
		return state.WithLeavingTargets(leaving, now)
	})
}

// Retire makes the instance report that it is not ready. It still admits requests,
// because they arrive until the load balancer has noticed.
func (s *Service) Retire(cause string) {
	s.change(func(state entry.State, now time.Time) entry.State {
		return state.WithRetiring(cause, now)
	})
}

// Drain stops admitting requests and waits until none is in flight. It returns an
// error if ctx ends first.
func (s *Service) Drain(ctx context.Context) error {
	s.change(func(state entry.State, _ time.Time) entry.State { return state.WithClosing() })
	if !s.idle.Await(ctx, func() bool { return s.State().Drained() }) {
		return trace.LimitExceeded("%d requests were in flight when the drain time ended; raise the drain setting", s.State().InFlight)
	}
	return nil
}

// AbortRequests cancels the requests in flight. Each is refused with what is known
// about whether it ran, unless its answer is complete.
func (s *Service) AbortRequests() {
	s.abort()
}

func (s *Service) change(change control.Change[entry.State]) {
	_ = s.owner.Send(context.Background(), change)
}

// recordAttempt records whether an attempt at a target failed, and the agent's report
// that came with its end, if any.
func (s *Service) recordAttempt(target string, failed bool, report *entry.Report) {
	s.change(func(state entry.State, now time.Time) entry.State {
		state = state.WithAttempt(target, failed, now)
		if report != nil {
			state = state.WithReport(target, *report, now)
		}
		return state
	})
}

// admitResult is the outcome of admission.
type admitResult struct {
	entry.Admission
	refused *refusal.Refusal
}

func (s *Service) admit(ctx context.Context, r Request) (entry.Admission, *refusal.Refusal) {
	a, err := control.Ask(ctx, s.owner, func(state entry.State, now time.Time) (entry.State, admitResult) {
		state, admission, refused := state.Admit(r.KeyDigest, r.Service, r.Call, now)
		return state, admitResult{Admission: admission, refused: refused}
	})
	if err != nil {
		return entry.Admission{}, closingRefusal(err)
	}
	return a.Admission, a.refused
}

func (s *Service) release(a entry.Admission) {
	s.change(func(state entry.State, _ time.Time) entry.State { return state.Released(a) })
}

// choice is the outcome of choosing a target: a ticket with its agent's address, or a
// refusal.
type choice struct {
	ticket  ticket.Ticket
	address string
	refused *refusal.Refusal
}

// choose selects a target and mints a ticket for it. If no target can take the
// request, it retries with a backoff for up to maxTargetWait. Only the first try
// excludes the targets in tried.
func (s *Service) choose(ctx context.Context, a entry.Admission, tried []string) choice {
	ctx, cancel := context.WithTimeout(ctx, s.maxTargetWait)
	defer cancel()
	for n := 1; ; n++ {
		c := s.chooseNow(ctx, a, tried)
		if c.refused == nil || c.refused.Kind != refusal.Busy || !s.pause(ctx, n) {
			return c
		}
		tried = nil
	}
}

// pause waits for the backoff before retry number n, counted from 1. It reports
// whether the wait ended before ctx.
func (s *Service) pause(ctx context.Context, n int) bool {
	return clock.Pause(ctx, retry.Backoff(n, s.random.Float64()))
}

func (s *Service) chooseNow(ctx context.Context, a entry.Admission, tried []string) choice {
	id := uuid.NewString()
	c, err := control.Ask(ctx, s.owner, func(state entry.State, now time.Time) (entry.State, choice) {
		state, t, refused := state.Choose(a, id, tried, s.random, now)
		if refused != nil {
			return state, choice{refused: refused}
		}
		target, _ := state.Configuration.Target(t.Target)
		return state, choice{ticket: t, address: target.Address}
	})
	if err != nil {
		return choice{refused: closingRefusal(err)}
	}
	return c
}

// takeRetry takes a retry from the retry budgets of the request's account and service,
// and reports whether both allowed it.
func (s *Service) takeRetry(ctx context.Context, a entry.Admission) bool {
	allowed, err := control.Ask(ctx, s.owner, func(state entry.State, _ time.Time) (entry.State, bool) {
		return state.TakeRetry(a)
	})
	return err == nil && allowed
}

// closingRefusal returns the refusal of a request that the control goroutine didn't
// decide on.
func closingRefusal(err error) *refusal.Refusal {
	r := refusal.New(refusal.Closing, refusal.No, trace.UserMessage(err)).WithRetry(0)
	return &r
}

// Random draws uniform random numbers.
type Random interface {
	IntN(n int) int
	Float64() float64
}

// globalRandom draws from the global source of package rand.
type globalRandom struct{}

// IntN returns a uniform random number in [0, n).
func (globalRandom) IntN(n int) int { return rand.IntN(n) }

// Float64 returns a uniform random number in [0, 1).
func (globalRandom) Float64() float64 { return rand.Float64() }
