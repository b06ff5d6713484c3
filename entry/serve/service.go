// Package serve takes requests of callers from admission to a whole answer or a
// truthful refusal.
//
// The control goroutine decides; this package carries decisions out. It knows
// neither HTTP nor the messages between processes.
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
	DefaultAgentTimeout  = 6 * time.Second // DefaultSilence is how long an agent may send nothing during an answer.
	DefaultMaxTargetWait = time.Second     // DefaultPatience is how long a request waits for a target.
)

// Head is what comes before an answer's first byte.
type Head struct {
	Status      int
	ContentType string // Content is the answer's content type.
}

// Part is one thing that an agent sends: a head, data, an end or a refusal. A
// part with nothing set is a heartbeat.
type Part struct {
	ID         string
	Attempt    int
	Head       *Head
	Offset     uint64
	Data       []byte
	End        *End
	Refusal    *refusal.Refusal
	RunStarted bool // Started tells of a refusal whether the run had started.

	Report *entry.Report // Report is set with an end or a refusal.
}

// End is what comes after an answer's last byte.
type End struct {
	Length uint64
	Digest uint64
}

// Call is one attempt as an agent gets it.
type Call struct {
	Ticket      ticket.Ticket
	Attempt     int
	Idempotent  bool
	Deadline    time.Time
	ContentType string
	Body        []byte
	Offset      uint64
}

// Stream is an answer as it comes from an agent.
type Stream interface {
	// Next waits for the next part. An error means that the connection failed.
	Next() (Part, error)
	// Close gives the connection up.
	Close()
}

// Agents reaches the agents of targets.
type Agents interface {
	// Serve sends a call. An error means that no byte of it was sent.
	Serve(ctx context.Context, address string, call Call) (Stream, error)
	// Void asks that the request of a ticket never start.
	Void(ctx context.Context, address string, t ticket.Ticket) (ledger.Stage, error)
}

// Writer takes an answer for a caller. An error means that the caller is gone
// or reads nothing.
type Writer interface {
	WriteHead(t ticket.Ticket, head Head) error
	Write(p []byte) error
}

// Meter counts and times what the instance does.
type Meter interface {
	Inc(name, kind string)
	Gauge(name string, value float64)
	Observe(name string, d time.Duration)
}

// Journal writes events.
type Journal interface {
	Event(event string, pairs ...any)
	Changes(before, after trail.Trail)
}

// Service serves callers.
type Service struct {
	agents        Agents
	meter         Meter
	journal       Journal
	random        Random
	agentTimeout  time.Duration
	maxTargetWait time.Duration

	owner        *control.Owner[entry.State]
	configured   control.Signal     // raised when a configuration comes into force
	idle         control.Signal     // raised when no request is in flight
	abortContext context.Context    // ends when requests in flight are to be given up
	abort        context.CancelFunc // ends aborting
}

// Option configures a Service.
type Option func(*Service)

// WithAgentTimeout sets how long an agent may send nothing during an answer.
func WithAgentTimeout(timeout time.Duration) Option {
	return func(s *Service) { s.agentTimeout = timeout }
}

// WithMaxTargetWait sets how long a request waits for a target that can take it.
func WithMaxTargetWait(wait time.Duration) Option {
	return func(s *Service) { s.maxTargetWait = wait }
}

// WithRandom sets the source of random numbers. It must bear concurrent use.
func WithRandom(random Random) Option {
	return func(s *Service) { s.random = random }
}

// New returns a service that starts from state.
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

// Close ends the control goroutine.
func (s *Service) Close() error {
	s.abort()
	return s.owner.Close()
}

// State returns the present state.
func (s *Service) State() entry.State {
	return s.owner.Snapshot()
}

// Observe logs changes and wakes those who wait for them.
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

// Offer hands over a published configuration.
func (s *Service) Offer(offered fleet.Configuration, faults []fleet.Fault) {
	s.change(func(state entry.State, now time.Time) entry.State {
		return state.WithConfiguration(offered, faults, now)
	})
}

// Failed logs that the platform could not be read.
func (s *Service) Failed(err error) {
	s.meter.Inc("platform", "failed")
	s.journal.Event("platform failed", "error", err)
}

// Watched returns the targets to watch, and a channel that is closed when
// another configuration comes into force.
func (s *Service) WatchedTargets() ([]fleet.Target, <-chan struct{}) {
	changed := s.configured.Wait()
	state := s.State()
	return entry.WatchedTargets(state.Configuration, state.Name, state.Domain), changed
}

// Reported takes a report of a target's agent.
func (s *Service) HandleReport(target string, report entry.Report) {
	s.change(func(state entry.State, now time.Time) entry.State {
		return state.WithReport(target, report, now)
	})
}

// Lost takes note that a target's agent can't be reached.
func (s *Service) HandleLost(target string, err error) {
	s.change(func(state entry.State, now time.Time) entry.State {
		return state.WithLost(target, trace.UserMessage(err), now)
	})
}

// Listed takes the platform's list of targets that are leaving.
func (s *Service) Listed(leaving []string) {
	s.change(func(state entry.State, now time.Time) entry.State {
		return state.WithLeavingTargets(leaving, now)
	})
}

// Retire has the instance report that it is not ready. It still admits
// requests, which arrive until the balancer has noticed.
func (s *Service) Retire(cause string) {
	s.change(func(state entry.State, now time.Time) entry.State {
		return state.WithRetiring(cause, now)
	})
}

// Drain admits nothing more and waits until no request is in flight, or until ctx ends.
func (s *Service) Drain(ctx context.Context) error {
	s.change(func(state entry.State, _ time.Time) entry.State { return state.WithClosing() })
	if !s.idle.Await(ctx, func() bool { return s.State().Drained() }) {
		return trace.LimitExceeded("%d requests were in flight when the drain time ended; raise the drain setting", s.State().InFlight)
	}
	return nil
}

// AbortRequests gives up the requests in flight. Their callers are told what is known.
func (s *Service) AbortRequests() {
	s.abort()
}

func (s *Service) change(change control.Change[entry.State]) {
	_ = s.owner.Send(context.Background(), change)
}

// recordAttempt takes note of how an attempt ended, and of the report that came
// with its end, if any.
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
		state, admission, refused := state.Admit(r.Digest, r.Service, r.Call, now)
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

// choice is the outcome of choosing a target.
type choice struct {
	ticket  ticket.Ticket
	address string
	refused *refusal.Refusal
}

// choose waits as long as patience allows for a target that can take the
// request. Targets tried before count again after the first wait.
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

// pause waits before try number n, counted from 1, and reports whether ctx
// still allows it.
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

func (s *Service) takeRetry(ctx context.Context, a entry.Admission) bool {
	allowed, err := control.Ask(ctx, s.owner, func(state entry.State, _ time.Time) (entry.State, bool) {
		return state.TakeRetry(a)
	})
	return err == nil && allowed
}

func closingRefusal(err error) *refusal.Refusal {
	r := refusal.New(refusal.Closing, refusal.No, trace.UserMessage(err)).WithRetry(0)
	return &r
}

// Random draws even random numbers.
type Random interface {
	IntN(n int) int
	Float64() float64
}

// globalRandom draws from the process's random source.
type globalRandom struct{}

// IntN returns an even random number below n.
func (globalRandom) IntN(n int) int { return rand.IntN(n) }

// Float64 returns an even random number from 0 up to 1.
func (globalRandom) Float64() float64 { return rand.Float64() }
