// Package serve handles requests of callers in a gateway, which sends them to
// targets directly. Each request ends with a complete answer, or with a refusal
// that states truthfully whether the request ran.
//
// Decisions are made in core/dispatch, on the control goroutine, and in core/retry;
// this package carries them out. It depends neither on HTTP nor on the platform.
package serve

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"hornbeamtray/adapter/control"
	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/quarantine"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/route"
)

const presenceTimeout = 200 * time.Millisecond // an answer takes two round trips

// Service handles the requests of callers.
type Service struct {
	targets Targets
	meter   Meter
	journal Journal
	clock   func() time.Time
	random  Random // used only on the control goroutine

	owner         *control.Owner[dispatch.State]
	idle          control.Signal     // raised when no request is in flight
	beforeSend    control.Signal     // raised before a request is sent
	capacityFreed control.Signal     // raised when a target may have capacity again
	abortContext  context.Context    // done when requests in flight must be aborted
	abort         context.CancelFunc // cancels abortContext
	unproven      unprovenAttempts
	permits       Permits
	limits        Limits // nil for none
}

// Random draws uniformly distributed random numbers.
type Random interface {
	IntN(n int) int
	Float64() float64
}

// Option configures a Service.
type Option func(*Service)

// WithClock sets the clock. The default is time.Now; adapter/clock.Now also
// advances while the machine is suspended.
func WithClock(clock func() time.Time) Option {
	return func(s *Service) { s.clock = clock }
}

// WithRandom sets the source of random numbers, which is used on one goroutine only.
func WithRandom(random Random) Option {
	return func(s *Service) { s.random = random }
}

// WithPermits sets the source of permits for targets that name a limit. By default, the
// service is the only gateway and grants them itself.
func WithPermits(permits Permits) Option {
	return func(s *Service) { s.permits = permits }
}

// Limits applies the published limits on requests where requests arrive.
type Limits interface {
	// Apply is called on the control goroutine whenever another configuration comes into
	// force. It must not block.
	Apply(limits route.Limits)
}

// WithLimits sets what applies the published limits.
func WithLimits(limits Limits) Option {
	return func(s *Service) { s.limits = limits }
}

// New starts a service with an initial state. Close stops it.
func New(state dispatch.State, targets Targets, meter Meter, journal Journal, options ...Option) *Service {
	s := &Service{
		targets: targets, meter: meter, journal: journal, clock: time.Now,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	s.permits = ownPermits{s}
	for _, option := range options {
		option(s)
	}
	s.abortContext, s.abort = context.WithCancel(context.Background())
	s.owner = control.New(state, control.WithObserver[dispatch.State](s), control.WithClock[dispatch.State](s.clock))
	return s
}

// Close aborts the requests in flight and stops the control goroutine.
func (s *Service) Close() error {
	s.abort()
	return s.owner.Close()
}

// State returns the current state.
func (s *Service) State() dispatch.State { return s.owner.Snapshot() }

// Ready reports whether the load balancer should send requests to this gateway.
func (s *Service) Ready() bool { return s.State().Ready(s.clock()) }

// Leaving reports whether the gateway is retiring; then each connection of a
// caller should be closed after the next answer.
func (s *Service) Leaving() bool { return s.State().Retiring }

// BodyLimit returns the maximum size of a request body in bytes, or 0 if it is not known.
func (s *Service) BodyLimit() int { return s.State().Book.Limits.Body }

// AccountOf returns the name of the client account that an API key belongs to, or "" if it is
// not known.
func (s *Service) AccountOf(key string) string {
	account, _ := s.State().Book.Account(key)
	return account.Name
}

// Observe implements control.Observer. It logs the changes of the audit trail,
// updates metrics, ends attempts of requests of which a part is now quarantined, and raises idle
// if no request is in flight.
func (s *Service) Observe(before, after dispatch.State) {
	s.journal.Changes(before.Trail, after.Trail)
	if before.Book.Version != after.Book.Version {
		s.meter.Gauge("version", float64(after.Book.Version))
		if s.limits != nil {
			s.limits.Apply(after.Book.Limits)
		}
	}
	if before.QuarantineRevision() != after.QuarantineRevision() {
		s.unproven.cancel(newlyQuarantined(before, after))
	}
	if after.InFlight == 0 {
		s.idle.Raise()
	}
	if before.Waiting() != after.Waiting() {
		s.meter.Gauge("waiting", float64(after.Waiting()))
	}
	if before.InFlight != after.InFlight {
		s.meter.Gauge("inflight", float64(after.InFlight))
	}
}

// newlyQuarantined returns the parts that are quarantined only in the state after.
func newlyQuarantined(before, after dispatch.State) []string {
	known := before.Quarantined()
	return slices.DeleteFunc(after.Quarantined(), func(part string) bool { return slices.Contains(known, part) })
}

// Change applies change to the state on the control goroutine, and may return
// before that. After Close it does nothing.
func (s *Service) Change(change func(dispatch.State, time.Time) dispatch.State) {
	_ = s.owner.Send(context.Background(), control.Change[dispatch.State](change))
}

// Retire makes Ready return false. The gateway still admits requests, since some
// arrive until the load balancer reacts.
func (s *Service) Retire(cause string) {
	s.Change(func(state dispatch.State, now time.Time) dispatch.State {
		return state.WithRetiring(cause, now)
	})
}

// Drain stops admitting requests and waits until none is in flight. It returns an
// error if ctx ends first.
func (s *Service) Drain(ctx context.Context) error {
	s.Change(func(state dispatch.State, _ time.Time) dispatch.State { return state.WithClosing() })
	if !s.idle.Await(ctx, func() bool { return s.State().Drained() }) {
		return trace.LimitExceeded("%d requests were in flight when the drain time ended; raise the drain setting", s.State().InFlight)
	}
	return nil
}

// Sending returns a channel that is closed just before the next request is sent to
// a target.
func (s *Service) Sending() <-chan struct{} { return s.beforeSend.Wait() }

// Abort aborts the requests in flight. Their refusals state whether they may have
// run.
func (s *Service) Abort() { s.abort() }

// admitted is the result of admission.
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
		return dispatch.Admission{}, closingRefusal(err)
	}
	return a.admission, a.refused
}

// choice is the result of choosing a target.
type choice struct {
	target  roster.Target
	at      time.Time           // when the target was chosen and the request counted there
	ask     *dispatch.Ask       // set if the request needs a permit before it may be sent
	judged  *dispatch.Admission // with the forecast for a request that found no target; it has a place if the request has to wait
	refused *refusal.Refusal
}

// choose chooses a target for the next attempt of a request. ran states whether the request
// ran in those before.
func (s *Service) choose(ctx context.Context, request Request, a dispatch.Admission, tried []string, ran refusal.Ran) choice {
	c, err := control.Ask(ctx, s.owner, func(state dispatch.State, now time.Time) (dispatch.State, choice) {
		if ran != refusal.No && !state.Repeatable(request.Host, request.Path) {
			r := refusal.New(refusal.Cut, ran, "the request may have run, and by now its route does not allow repeats; check the outcome before asking anew")
			return state, choice{refused: &r}
		}
		if !state.Valid(request.Key, a, now) {
			r := refusal.New(refusal.Closing, refusal.No, "the key was taken away or can't be checked any more; ask again").WithRetry(0)
			return state, choice{refused: &r}
		}
		chosen, target, refused := state.Choose(a, tried, s.random, now)
		if refused != nil && refused.Kind == refusal.Busy {
			queued, judged, refused := state.Queue(a, tried, s.random.Float64(), now)
			return queued, choice{judged: &judged, refused: refused}
		}
		if refused != nil {
			return chosen, choice{refused: refused}
		}
		if ask, needed := state.Ask(a, target, now); needed {
			return state, choice{ask: &ask}
		}
		s.beforeSend.Raise()
		return chosen, choice{target: target, at: now}
	})
	if err != nil {
		return choice{refused: closingRefusal(err)}
	}
	return c
}

// leaveQueue takes a request out of the queue if it waits there.
func (s *Service) leaveQueue(a dispatch.Admission) {
	if !a.Place.Waits() {
		return
	}
	s.Change(func(state dispatch.State, _ time.Time) dispatch.State {
		s.capacityFreed.Raise()
		return state.WithoutPlace(a)
	})
}

// busyRefusal returns the refusal of a request that targets did not run for lack of room.
func (s *Service) busyRefusal(ctx context.Context, a dispatch.Admission) refusal.Refusal {
	r, err := control.Ask(ctx, s.owner, func(state dispatch.State, now time.Time) (dispatch.State, refusal.Refusal) {
		return state, state.Busy(a, s.random.Float64(), now)
	})
	if err != nil {
		return *closingRefusal(err)
	}
	return r
}

// takeRetry takes a retry from the service's budget and reports whether the budget
// allows it.
func (s *Service) takeRetry(ctx context.Context, service string) bool {
	allowed, err := control.Ask(ctx, s.owner, func(state dispatch.State, now time.Time) (dispatch.State, bool) {
		return state.WithRetry(service, now)
	})
	return err == nil && allowed
}

// recordSent records that a request was written to the target that was chosen for it at a time.
func (s *Service) recordSent(target string, chosenAt time.Time) {
	s.Change(func(state dispatch.State, now time.Time) dispatch.State { return state.WithSent(target, chosenAt, now) })
}

func (s *Service) recordAttempt(target string, failed bool) {
	s.Change(func(state dispatch.State, now time.Time) dispatch.State {
		s.capacityFreed.Raise()
		return state.WithAttempt(target, failed, now)
	})
}

// recordGroupLost records that the group of a target can't work.
func (s *Service) recordGroupLost(target roster.Target) {
	s.Change(func(state dispatch.State, now time.Time) dispatch.State { return state.WithGroupLost(target, now) })
}

// recordProof records that the answer to a request with the parts got under way.
func (s *Service) recordProof(parts []string) {
	if len(parts) > 0 && !s.State().Proven(parts, s.clock()) {
		s.Change(func(state dispatch.State, now time.Time) dispatch.State { return state.WithProof(parts, now) })
	}
}

// recordCrash records that a target crashed while it had a request with the parts, if it
// did crash: a target that closed one connection may still run. Peers learn of it at once.
func (s *Service) recordCrash(target roster.Target, parts []string, progress quarantine.Progress) {
	if len(parts) == 0 || progress >= quarantine.UnderWay {
		return
	}
	ctx, cancel := context.WithTimeout(s.abortContext, presenceTimeout)
	defer cancel()
	if s.targets.Ask(ctx, target.Address).presence(target.StartUnixMilli, longAgo) != gone {
		return
	}
	s.meter.Inc("crashes", "suspected")
	s.journal.Event("target crashed", "target", target.ID, "parts", strings.Join(parts, ","), "progress", progress)
	s.Change(func(state dispatch.State, now time.Time) dispatch.State {
		s.beforeSend.Raise()
		return state.WithCrash(target.ID, parts, progress, now)
	})
}

// recordReplaced records that another process answered at a target's address.
func (s *Service) recordReplaced(target string) {
	s.Change(func(state dispatch.State, now time.Time) dispatch.State { return state.WithReplaced(target, now) })
}

// recordGroupWorking records that the group of a target works again, since the
// target began an answer.
func (s *Service) recordGroupWorking(target roster.Target) {
	if !s.State().Lost(target) {
		return
	}
	s.Change(func(state dispatch.State, now time.Time) dispatch.State {
		s.capacityFreed.Raise()
		return state.WithGroupRecovered(target, now)
	})
}

// recordFirstPart records how long a target took to begin an answer.
func (s *Service) recordFirstPart(service string, took time.Duration) {
	s.Change(func(state dispatch.State, now time.Time) dispatch.State {
		return state.WithFirstPart(service, took, now)
	})
}

// recordAnswer records how long a target took to complete an answer.
func (s *Service) recordAnswer(service string, took time.Duration) {
	s.Change(func(state dispatch.State, now time.Time) dispatch.State { return state.WithAnswer(service, took, now) })
}

// recordResponse records that a target sent any part of an answer.
func (s *Service) recordResponse(target string) {
	if s.State().AwaitsResponse(target) {
		s.Change(func(state dispatch.State, _ time.Time) dispatch.State { return state.WithResponse(target) })
	}
}

func (s *Service) recordDone() {
	s.Change(func(state dispatch.State, _ time.Time) dispatch.State { return state.WithRequestDone() })
}

func closingRefusal(err error) *refusal.Refusal {
	r := refusal.New(refusal.Closing, refusal.No, trace.UserMessage(err)).WithRetry(0)
	return &r
}
