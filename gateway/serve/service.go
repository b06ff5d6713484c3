// Package serve takes requests of callers from admission to a whole answer or a
// truthful refusal, with targets that the gateway sends to itself.
//
// The control goroutine decides; this package carries decisions out. It knows
// neither HTTP nor the platform's names.
package serve

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"hornbeamtray/adapter/control"
	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/roster"
)

// Service serves callers.
type Service struct {
	targets Targets
	meter   Meter
	journal Journal
	clock   func() time.Time
	random  Random // used on the control goroutine alone

	owner    *control.Owner[dispatch.State]
	idle     control.Signal     // raised when no request is in flight
	sending  control.Signal     // raised when a request is about to be sent
	freed    control.Signal     // raised when a target may have room again
	aborting context.Context    // ends when requests in flight are to be given up
	abort    context.CancelFunc // ends aborting
}

// Random draws even random numbers.
type Random interface {
	IntN(n int) int
	Float64() float64
}

// Option configures a Service.
type Option func(*Service)

// WithClock sets the clock; adapter/clock.Now counts suspension, too.
func WithClock(clock func() time.Time) Option {
	return func(s *Service) { s.clock = clock }
}

// WithRandom sets the source of random numbers, used on one goroutine.
func WithRandom(random Random) Option {
	return func(s *Service) { s.random = random }
}

// New returns a service that starts from state.
func New(state dispatch.State, targets Targets, meter Meter, journal Journal, options ...Option) *Service {
	s := &Service{
		targets: targets, meter: meter, journal: journal, clock: time.Now,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, option := range options {
		option(s)
	}
	s.aborting, s.abort = context.WithCancel(context.Background())
	s.owner = control.New(state, control.WithObserver[dispatch.State](s), control.WithClock[dispatch.State](s.clock))
	return s
}

// Close ends the control goroutine.
func (s *Service) Close() error {
	s.abort()
	return s.owner.Close()
}

// State returns the present state.
func (s *Service) State() dispatch.State { return s.owner.Snapshot() }

// Ready reports whether the balancer is to send callers here.
func (s *Service) Ready() bool { return s.State().Ready(s.clock()) }

// Leaving reports whether kept connections of callers are to be closed after
// their answer.
func (s *Service) Leaving() bool { return s.State().Retiring }

// BodyLimit returns the most bytes of a request's body; 0 where it is not known.
func (s *Service) BodyLimit() int { return s.State().Book.Limits.Body }

// Observe logs changes and wakes those who wait for them.
func (s *Service) Observe(before, after dispatch.State) {
	s.journal.Changes(before.Trail, after.Trail)
	if before.Book.Version != after.Book.Version {
		s.meter.Gauge("version", float64(after.Book.Version))
	}
	if after.InFlight == 0 {
		s.idle.Raise()
	}
	if before.InFlight != after.InFlight {
		s.meter.Gauge("inflight", float64(after.InFlight))
	}
}

// Change applies a change to the state.
func (s *Service) Change(change func(dispatch.State, time.Time) dispatch.State) {
	_ = s.owner.Send(context.Background(), control.Change[dispatch.State](change))
}

// Retire has the gateway report that it is not ready. It still admits requests,
// which arrive until the balancer has noticed.
func (s *Service) Retire(cause string) {
	s.Change(func(state dispatch.State, now time.Time) dispatch.State {
		return state.WithRetiring(cause, now)
	})
}

// Drain admits nothing more and waits until no request is in flight, or until
// ctx ends.
func (s *Service) Drain(ctx context.Context) error {
	s.Change(func(state dispatch.State, _ time.Time) dispatch.State { return state.WithClosing() })
	if !s.idle.Await(ctx, func() bool { return s.State().Drained() }) {
		return trace.LimitExceeded("%d requests were in flight when the drain time ended; raise the drain setting", s.State().InFlight)
	}
	return nil
}

// Sending returns a channel that is closed when the next request is about to be
// sent to a target.
func (s *Service) Sending() <-chan struct{} { return s.sending.Wait() }

// Abort gives up the requests in flight. Their callers are told what is known.
func (s *Service) Abort() { s.abort() }

// admitted is the outcome of admission.
type admitted struct {
	admission dispatch.Admission
	refused   *refusal.Refusal
}

func (s *Service) admit(ctx context.Context, r dispatch.Request) (dispatch.Admission, *refusal.Refusal) {
	a, err := control.Ask(ctx, s.owner, func(state dispatch.State, now time.Time) (dispatch.State, admitted) {
		state, admission, refused := state.Admit(r, s.random.Float64(), now)
		return state, admitted{admission, refused}
	})
	if err != nil {
		return dispatch.Admission{}, closing(err)
	}
	return a.admission, a.refused
}

// choice is the outcome of choosing a target.
type choice struct {
	target  roster.Target
	refused *refusal.Refusal
}

func (s *Service) choose(ctx context.Context, key string, a dispatch.Admission, tried []string) choice {
	c, err := control.Ask(ctx, s.owner, func(state dispatch.State, now time.Time) (dispatch.State, choice) {
		if !state.Valid(key, a, now) {
			r := refusal.New(refusal.Closing, refusal.No, "the key was taken away or can't be checked any more; ask again").WithRetry(0)
			return state, choice{refused: &r}
		}
		state, target, refused := state.Choose(a, tried, s.random, now)
		if refused == nil {
			s.sending.Raise()
		}
		return state, choice{target, refused}
	})
	if err != nil {
		return choice{refused: closing(err)}
	}
	return c
}

func (s *Service) mayRetry(ctx context.Context, service string) bool {
	allowed, err := control.Ask(ctx, s.owner, func(state dispatch.State, _ time.Time) (dispatch.State, bool) {
		return state.WithRetry(service)
	})
	return err == nil && allowed
}

func (s *Service) attempted(target string, failed bool) {
	s.Change(func(state dispatch.State, now time.Time) dispatch.State {
		s.freed.Raise()
		return state.WithAttempt(target, failed, now)
	})
}

// lost notes that the group of a service's targets can't work.
func (s *Service) lost(service string) {
	s.Change(func(state dispatch.State, now time.Time) dispatch.State { return state.WithGroupLost(service, now) })
}

// works notes that a target of a service began an answer.
func (s *Service) works(service string) {
	if !s.State().GroupLost(service) {
		return
	}
	s.Change(func(state dispatch.State, now time.Time) dispatch.State {
		s.freed.Raise()
		return state.WithGroupRecovered(service, now)
	})
}

// sign notes that a target sent something.
func (s *Service) sign(target string) {
	if s.State().AwaitsResponse(target) {
		s.Change(func(state dispatch.State, _ time.Time) dispatch.State { return state.WithResponse(target) })
	}
}

func (s *Service) release() {
	s.Change(func(state dispatch.State, _ time.Time) dispatch.State { return state.WithRequestDone() })
}

func closing(err error) *refusal.Refusal {
	r := refusal.New(refusal.Closing, refusal.No, trace.UserMessage(err)).WithRetry(0)
	return &r
}
