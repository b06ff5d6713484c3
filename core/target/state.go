// Package target decides for one target: what its agent starts, repeats,
// refuses or voids.
//
// A State is an immutable value that the agent's control goroutine replaces
// with each event. It holds no answers and sends nothing.
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

// Default bounds on what the agent holds.
const (
	DefaultAnswerBytes = 1 << 20  // DefaultAnswerBytes bounds one kept answer.
	DefaultHeldBytes   = 32 << 20 // DefaultHeldBytes bounds all kept answers and windows together.
	WindowBytes        = 32 << 10 // WindowBytes bounds what is held of an answer that is not kept.
)

// refusalRetryDelay is when to try again after a target was found full.
const refusalRetryDelay = 50 * time.Millisecond

// State is what an agent knows of its target.
type State struct {
	Name          string
	Incarnation   string // Incarnation is unique to this process.
	Configuration fleet.Configuration
	Ledger        ledger.Ledger
	Running       int // Running counts requests started and not yet ended.
	Readers       int // Readers counts those to whom an answer is being given.
	Leaving       bool
	Orders        order.State
	Trail         trail.Trail

	answerBytes int64
	heldBytes   int64
	reached     bool           // the target itself answered the agent lately
	failed      int            // requests in a row that the target answered with a failure
	watchers    map[string]int // entry instances that watch, by failure domain; never written after construction
	ramp        admission.Ramp
	shares      admission.Shares
}

// Option sets a bound of a State.
type Option func(*State)

// WithAnswerBytes bounds one kept answer, in bytes.
func WithAnswerBytes(bytes int64) Option {
	return func(s *State) { s.answerBytes = bytes }
}

// WithHeldBytes bounds all kept answers and windows together, in bytes.
func WithHeldBytes(bytes int64) Option {
	return func(s *State) { s.heldBytes = bytes }
}

// WithLedgerCapacity bounds the number of starts on record.
func WithLedgerCapacity(capacity int) Option {
	return func(s *State) { s.Ledger = ledger.New(capacity) }
}

// New returns the state of a target's agent that has just started.
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

// AnswerBytes returns the bound on one kept answer.
func (s State) AnswerBytes() int64 { return s.answerBytes }

// Held returns the bytes reserved or used for answers, kept ones and others.
func (s State) Held() int64 {
	return s.Ledger.Held() + WindowBytes*int64(s.Readers)
}

// Request is one request as it reaches the agent.
type Request struct {
	Ticket     ticket.Ticket
	Digest     uint64 // Digest of the call and its body.
	Idempotent bool   // Idempotent is what the sending entry believes.
}

// Action is what the agent does with a request.
type Action int

// The actions.
const (
	Refuse Action = iota // Refuse: nothing starts.
	Start                // Start: run it now, for the first time under its ticket.
	Attach               // Attach: give the answer of the run already recorded.
)

// Verdict is an action and, where it is Refuse, the refusal.
type Verdict struct {
	Action  Action
	Kept    bool // Kept: the request is on the ledger and its answer is kept.
	Refusal refusal.Refusal
}

// Begin decides about a request at the moment when it would start.
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
	s.shares = s.shares.Asked(r.Ticket.Account, s.Ledger.Now())
	if refused, full := s.checkCapacity(r.Ticket.Account, s.answerBytes); full {
		return s.refuseAndVoid(r.Ticket, refused)
	}
	s.Ledger = s.Ledger.WithStarted(r.Ticket, r.Digest, s.answerBytes)
	s = s.withStarted(r.Ticket.Account)
	return s, Verdict{Action: Start, Kept: true}
}

// WithWatchers returns the state after more or fewer entry instances of a failure
// domain watch the agent.
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

// ReleaseReader records that a reader of an answer is done or gone.
func (s State) ReleaseReader() State {
	s.Readers = max(0, s.Readers-1)
	return s
}

// Idle reports whether nothing runs and nobody reads.
func (s State) Idle() bool {
	return s.Running == 0 && s.Readers == 0
}

// Void decides whether the request of a ticket can be stopped from ever
// starting, and returns its stage after that. Absent means that nothing is known.
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

// Swept forgets expired records and returns the IDs whose answers may go.
func (s State) Swept(now time.Time) (State, []string) {
	var dropped []string
	s.Ledger, dropped = s.Ledger.WithTime(now).Swept()
	s.shares = s.shares.Swept(now)
	return s, dropped
}

// WithConfiguration returns the state under a newer configuration. An older or
// faulty one changes nothing but, for a faulty one, the trail.
func (s State) WithConfiguration(offered fleet.Configuration, faults []fleet.Fault, now time.Time) State {
	couldServe, first := s.Configuration.Bears(s.Name), s.Configuration.Version == 0
	s.Configuration, s.Trail = offered.Accept(s.Configuration, s.Trail, faults, now)
	if t, found := s.Configuration.Target(s.Name); found {
		s.Orders = s.Orders.WithWanted(s.Configuration.Version, t.Load)
	}
	if !couldServe && s.Configuration.Bears(s.Name) {
		s.ramp = s.ramp.WithRestart(now)
		if !first {
			s.Trail = s.Trail.With(now, "target "+s.Name, "brought back by operators", "limit 0", fmt.Sprintf("limit %d", s.Limit(now)))
		}
	}
	return s
}

// WithLeaving returns the state of a target that takes no new work.
func (s State) WithLeaving(cause string, now time.Time) State {
	if s.Leaving {
		return s
	}
	s.Leaving = true
	s.Trail = s.Trail.With(now, "target "+s.Name, cause, "serving", "leaving")
	return s
}

// Limit returns the number of requests the target bears at time now, 0 where
// the configuration does not name the target.
func (s State) Limit(now time.Time) int {
	t, found := s.Configuration.Target(s.Name)
	if !found {
		return 0
	}
	return s.ramp.Allowed(admission.Bounds{Limit: t.Limit, Cold: t.Cold, Warm: t.Warm}, now)
}

// Taking reports whether the target takes new work at all.
func (s State) Taking() bool {
	return !s.Leaving && s.reached && s.Configuration.Bears(s.Name)
}

// idempotent holds only if the sender and the agent's own configuration agree,
// so that a request is run twice only where no version in force forbids it.
func (s State) idempotent(r Request) bool {
	service, found := s.Configuration.Service(r.Ticket.Service)
	return r.Idempotent && found && service.Idempotent(r.Ticket.Call)
}

func (s State) beginIdempotent(r Request) (State, Verdict) {
	if refused, bad := s.checkExpiry(r.Ticket); bad {
		return s, refuse(refused)
	}
	s.shares = s.shares.Asked(r.Ticket.Account, s.Ledger.Now())
	if refused, full := s.checkCapacity(r.Ticket.Account, WindowBytes); full {
		return s, refuse(refused)
	}
	return s.withStarted(r.Ticket.Account), Verdict{Action: Start}
}

func (s State) withStarted(account string) State {
	s.Running++
	s.Readers++
	s.shares = s.shares.Started(account)
	return s
}

// checkExpiry refuses tickets whose time has passed, or that no entry could have
// minted yet. Neither says whether the request ran before.
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

// checkCapacity refuses new work that the target can't or may not take.
func (s State) checkCapacity(account string, bytes int64) (refusal.Refusal, bool) {
	limit := s.Limit(s.Ledger.Now())
	switch {
	case !s.Taking():
		return refusal.New(refusal.Leaving, refusal.No, "the target takes no new work; try again").WithRetry(refusalRetryDelay), true
	case s.Running >= limit:
		return refusal.New(refusal.Busy, refusal.No, fmt.Sprintf("the target bears %d requests at once; try again later", limit)).WithRetry(refusalRetryDelay), true
	case !s.shares.Bears(account, limit, s.Ledger.Now()):
		return refusal.New(refusal.Busy, refusal.No, "the client account holds its share of the target; try again later").WithRetry(refusalRetryDelay), true
	case s.Held()+bytes > s.heldBytes || !s.Ledger.CanStart():
		return refusal.New(refusal.Busy, refusal.No, "the target's agent holds as many answers as it may; try again later").WithRetry(time.Second), true
	}
	return refusal.Refusal{}, false
}

// refuseAndVoid voids the ticket, so that a copy of the request that is still
// on its way can't make "not run" untrue.
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
