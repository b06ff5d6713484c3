// Package target makes the decisions of one target's agent: which requests it
// starts, attaches to an earlier run, refuses or voids.
//
// A State is an immutable value that the agent's control goroutine replaces
// at each event. It stores no answers and sends nothing.
package target

import (
	"fmt"
	"maps"
	"time"

	"hornbeamtray/core/admission"
	"hornbeamtray/core/fleet"
	"hornbeamtray/core/ledger"
	"hornbeamtray/core/order"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/ticket"
	"hornbeamtray/core/trail"
)

// Bounds on the answer bytes that the agent stores. The answer to a non-idempotent
// request is kept for repeats of the request until the request's ticket expires.
// Any other answer has only a buffer for its reader, called a window.
const (
	DefaultAnswerBytes = 1 << 20  // DefaultAnswerBytes is the default bound on one kept answer.
	DefaultHeldBytes   = 32 << 20 // DefaultHeldBytes is the default bound on all kept answers and windows together.
	WindowBytes        = 32 << 10 // WindowBytes is the size of a window, the buffer of an answer that is not kept.
)

// refusalRetryDelay is the retry delay in the refusal of a request when the target
// is full or takes no new work.
const refusalRetryDelay = 50 * time.Millisecond

// State is the state of a target's agent.
type State struct {
	Name          string
	Incarnation   string // Incarnation is unique to this agent process.
	Configuration fleet.Configuration
	Ledger        ledger.Ledger
	Running       int // Running counts the requests running at the target, without paused ones.
	Readers       int // Readers counts the readers that are receiving an answer.
	Leaving       bool
	Orders        order.State
	Trail         trail.Trail

	answerBytes int64
	heldBytes   int64
	reached     bool           // the target answered the agent's latest probe
	failed      int            // consecutive requests that the target answered with a server error
	watchers    map[string]int // number of entry instances that watch the agent, by failure domain; the map is never modified
	ramp        admission.Ramp
	shares      admission.Shares
}

// Option sets a bound of a State.
type Option func(*State)

// WithAnswerBytes sets the bound on one kept answer, in bytes.
func WithAnswerBytes(bytes int64) Option {
	return func(s *State) { s.answerBytes = bytes }
}

// WithHeldBytes sets the bound on all kept answers and windows (see WindowBytes)
// together, in bytes.
func WithHeldBytes(bytes int64) Option {
	return func(s *State) { s.heldBytes = bytes }
}

// WithLedgerCapacity sets the bound on the number of started and finished requests
// that the ledger records.
func WithLedgerCapacity(capacity int) Option {
	return func(s *State) { s.Ledger = ledger.New(capacity) }
}

// New returns the initial state of a target's agent. It assumes that the target
// is reachable.
func New(name, incarnation string, options ...Option) State {
	s := State{
		Name:          name,
		Incarnation:   incarnation,
		Configuration: fleet.NewConfiguration(),
		Ledger:        ledger.New(ledger.DefaultCapacity),
		answerBytes:   DefaultAnswerBytes,
		heldBytes:     DefaultHeldBytes,
		reached:       true,
		shares:        admission.NewShares(),
	}
	for _, option := range options {
		option(&s)
	}
	return s
}

// AnswerBytes returns the bound on one kept answer, in bytes.
func (s State) AnswerBytes() int64 { return s.answerBytes }

// Held returns the number of bytes that kept answers use or have reserved, plus
// WindowBytes for each reader, whether or not the answer that it reads is kept.
func (s State) Held() int64 {
	return s.Ledger.Held() + WindowBytes*int64(s.Readers)
}

// Request is a request that the agent received.
type Request struct {
	Ticket     ticket.Ticket
	Digest     uint64 // Digest of the request's call, content type and body.
	Idempotent bool   // Idempotent is whether the call is idempotent in the configuration of the entry instance that sent the request.
}

// Action is what the agent does with a request.
type Action int

// Actions that Begin decides on.
const (
	Refuse Action = iota // Refuse: send a refusal and start nothing.
	Start                // Start: run the request now.
	Attach               // Attach: send the answer of the run already recorded under the ticket.
)

// Verdict is an action and, for Refuse, the refusal.
type Verdict struct {
	Action  Action
	Kept    bool // Kept: the ledger records the request, and its answer is kept for repeats.
	Refusal refusal.Refusal
}

// Begin decides whether a request starts now, attaches to an earlier run of its
// ticket, or is refused, and returns the state after that.
func (s State) Begin(r Request, now time.Time) (State, Verdict) {
	s.Ledger = s.Ledger.WithTime(now)
	if r.Ticket.Target != s.Name || r.Ticket.Incarnation != s.Incarnation {
		return s, refuse(refusal.New(refusal.Gone, refusal.Unknown, "the process that held this ticket no longer runs; check the outcome before asking anew"))
	}
	if s.idempotent(r) {
		return s.beginIdempotent(r)
	}
	switch record := s.Ledger.Lookup(r.Ticket.ID); record.Stage {
	case ledger.Voided:
		return s, refuse(voidedRefusal())
	case ledger.Started, ledger.Finished:
		if !record.Matches(r.Ticket.Account, r.Digest) {
			return s, refuse(refusal.New(refusal.Conflict, refusal.Unknown, "this ticket was used with another request; fetch a new ticket"))
		}
		s.Readers++
		return s, Verdict{Action: Attach, Kept: true}
	}
	if refused, bad := s.checkExpiry(r.Ticket); bad {
		return s, refuse(refused)
	}
	s.shares = s.shares.WithRequest(r.Ticket.Account, s.Ledger.Now())
	if refused, full := s.checkCapacity(r.Ticket.Account, s.answerBytes); full {
		return s.refuseAndVoid(r.Ticket, refused)
	}
	s.Ledger = s.Ledger.WithStarted(r.Ticket, r.Digest, s.answerBytes)
	s = s.withStarted(r.Ticket.Account)
	return s, Verdict{Action: Start, Kept: true}
}

// WithWatchers returns the state with change added to the number of entry instances
// in a failure domain that watch the agent.
func (s State) WithWatchers(domain string, change int) State {
	watchers := maps.Clone(s.watchers)
	if watchers == nil {
		watchers = map[string]int{}
	}
	watchers[domain] += change
	s.watchers = watchers
	return s
}

// Entries returns how many entry instances of the target's own failure domain
// watch the agent.
func (s State) Entries() int {
	t, _ := s.Configuration.Target(s.Name)
	return s.watchers[t.Domain]
}

// ReleaseReader returns the state after a reader of an answer finished or
// disconnected.
func (s State) ReleaseReader() State {
	s.Readers = max(0, s.Readers-1)
	return s
}

// Idle reports whether no request is running and no reader is receiving an answer.
func (s State) Idle() bool {
	return s.Running == 0 && s.Readers == 0
}

// Void prevents the request of a ticket from ever starting, if the request has
// not started and the ledger has room. It returns the request's stage after that:
// Voided if the request never starts, Started or Finished if it started, and
// Absent if the agent has no record of it and could not void it.
func (s State) Void(t ticket.Ticket, now time.Time) (State, ledger.Stage) {
	s.Ledger = s.Ledger.WithTime(now)
	if t.Target != s.Name || t.Incarnation != s.Incarnation {
		return s, ledger.Absent
	}
	if stage := s.Ledger.Lookup(t.ID).Stage; stage != ledger.Absent {
		return s, stage
	}
	if _, bad := s.checkExpiry(t); bad || !s.Ledger.CanVoid() {
		return s, ledger.Absent
	}
	s.Ledger = s.Ledger.WithVoided(t)
	return s, ledger.Voided
}

// Swept returns the state without expired records, and the ticket IDs of those
// whose answers may be deleted.
func (s State) Swept(now time.Time) (State, []string) {
	var dropped []string
	s.Ledger, dropped = s.Ledger.WithTime(now).Swept()
	s.shares = s.shares.WithoutIdle(now)
	return s, dropped
}

// WithConfiguration returns the state after a configuration was published. Only a
// newer configuration without faults takes effect; a faulty one is recorded in the
// trail. The ramp-up of the limit restarts when operators let the target take new
// work again.
func (s State) WithConfiguration(offered fleet.Configuration, faults []fleet.Fault, now time.Time) State {
	couldServe, first := s.Configuration.Available(s.Name), s.Configuration.Version == 0
	s.Configuration, s.Trail = offered.Accept(s.Configuration, s.Trail, faults, now)
	if t, found := s.Configuration.Target(s.Name); found {
		s.Orders = s.Orders.WithWanted(s.Configuration.Version, t.RequiredLoad)
	}
	if !couldServe && s.Configuration.Available(s.Name) {
		s.ramp = s.ramp.WithRestart(now)
		if !first {
			s.Trail = s.Trail.With(now, "target "+s.Name, "brought back by operators", "limit 0", fmt.Sprintf("limit %d", s.Limit(now)))
		}
	}
	return s
}

// WithLeaving returns the state after the target stopped taking new work.
func (s State) WithLeaving(cause string, now time.Time) State {
	if s.Leaving {
		return s
	}
	s.Leaving = true
	s.Trail = s.Trail.With(now, "target "+s.Name, cause, "serving", "leaving")
	return s
}

// Limit returns the number of requests that the target may run at time now; 0 if
// the configuration does not contain the target.
func (s State) Limit(now time.Time) int {
	t, found := s.Configuration.Target(s.Name)
	if !found {
		return 0
	}
	return s.ramp.Allowed(admission.Bounds{Limit: t.Limit, ColdLimit: t.ColdLimit, RampUp: t.RampUp}, now)
}

// Taking reports whether the target takes new work, regardless of its limit.
func (s State) Taking() bool {
	return !s.Leaving && s.reached && s.Configuration.Available(s.Name)
}

// idempotent reports whether the call is idempotent both in the configuration of
// the entry instance that sent the request and in the agent's own. A request runs
// twice only if both configurations allow it.
func (s State) idempotent(r Request) bool {
	service, found := s.Configuration.Service(r.Ticket.Service)
	return r.Idempotent && found && service.Idempotent(r.Ticket.Call)
}

func (s State) beginIdempotent(r Request) (State, Verdict) {
	if refused, bad := s.checkExpiry(r.Ticket); bad {
		return s, refuse(refused)
	}
	s.shares = s.shares.WithRequest(r.Ticket.Account, s.Ledger.Now())
	if refused, full := s.checkCapacity(r.Ticket.Account, WindowBytes); full {
		return s, refuse(refused)
	}
	return s.withStarted(r.Ticket.Account), Verdict{Action: Start}
}

func (s State) withStarted(account string) State {
	s.Running++
	s.Readers++
	s.shares = s.shares.WithStart(account)
	return s
}

// checkExpiry returns a refusal and true if the ticket has expired, or if its
// expiry is so far ahead that no entry instance could have minted it yet. In
// neither case does the agent know whether the request ran before.
func (s State) checkExpiry(t ticket.Ticket) (refusal.Refusal, bool) {
	now := s.Ledger.Now()
	if t.Expired(now) {
		return refusal.New(refusal.Expired, refusal.Unknown, "the ticket has expired; check the outcome before asking anew"), true
	}
	if !t.Plausible(now) {
		return refusal.New(refusal.Malformed, refusal.Unknown, "the ticket's expiry is too far ahead; fetch a new ticket"), true
	}
	return refusal.Refusal{}, false
}

// checkCapacity checks whether a request of the account can start now, with bytes
// reserved for its answer. If not, it returns a refusal and true.
func (s State) checkCapacity(account string, bytes int64) (refusal.Refusal, bool) {
	limit := s.Limit(s.Ledger.Now())
	switch {
	case !s.Taking():
		return refusal.New(refusal.Leaving, refusal.No, "the target takes no new work; try again").WithRetry(refusalRetryDelay), true
	case s.Running >= limit:
		return refusal.New(refusal.Busy, refusal.No, fmt.Sprintf("the target bears %d requests at once; try again later", limit)).WithRetry(refusalRetryDelay), true
	case !s.shares.Allows(account, limit, s.Ledger.Now()):
		return refusal.New(refusal.Busy, refusal.No, "the client account holds its share of the target; try again later").WithRetry(refusalRetryDelay), true
	case s.Held()+bytes > s.heldBytes || !s.Ledger.CanStart():
		return refusal.New(refusal.Busy, refusal.No, "the target's agent holds as many answers as it may; try again later").WithRetry(time.Second), true
	}
	return refusal.Refusal{}, false
}

// refuseAndVoid refuses a request as not run, and voids its ticket so that a copy
// of the request that arrives later can't start. If the ledger has no room for
// the voided ticket, the refusal says that it is unknown whether the request ran.
func (s State) refuseAndVoid(t ticket.Ticket, refused refusal.Refusal) (State, Verdict) {
	if !s.Ledger.CanVoid() {
		return s, refuse(refused.WithRan(refusal.Unknown))
	}
	s.Ledger = s.Ledger.WithVoided(t)
	return s, refuse(refused)
}

func refuse(r refusal.Refusal) Verdict {
	return Verdict{Action: Refuse, Refusal: r}
}

func voidedRefusal() refusal.Refusal {
	return refusal.New(refusal.Voided, refusal.No, "the ticket was voided before the request started; fetch a new ticket")
}
