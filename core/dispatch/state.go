// Package dispatch makes the decisions of one gateway: which requests it admits,
// which target each goes to, and whether a failed attempt may be retried. A gateway
// sends requests to targets itself.
//
// A State is an immutable value that the gateway's control goroutine replaces
// on each event. The package sends nothing and is independent of message formats.
package dispatch

import (
	"strconv"
	"time"

	"github.com/benbjohnson/immutable"

	"hornbeamtray/core/quarantine"
	"hornbeamtray/core/queue"
	"hornbeamtray/core/quota"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/retry"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/route"
	"hornbeamtray/core/trail"
)

// Bounds are a gateway's limits, from its settings.
type Bounds struct {
	MaxStaleness time.Duration // MaxStaleness is how old State.SyncedAt may be while the gateway still accepts keys.

	// ColdOvershoot and ColdSlack bound the requests that all gateways together send
	// to a target within coldWindow, if its service has a cold rate: the cold rate
	// times ColdOvershoot, plus ColdSlack in requests per coldWindow.
	ColdOvershoot float64
	ColdSlack     float64

	// MaxExtraRetries bounds the retries at a service, by all gateways together and
	// within some seconds, beyond a share of the service's requests, if LimitRetries is set.
	MaxExtraRetries float64
	LimitRetries    bool
}

// State is a gateway's control state. New returns the initial one.
type State struct {
	Name     string
	Domain   string
	Book     route.Book // Book is the configuration in force; its version is 0 before the first one.
	Roster   roster.Roster
	SyncedAt time.Time // SyncedAt is the latest time as of which the book and the roster are known to be up to date.
	InFlight int
	Retiring bool // Retiring is set while the load balancer should send no more requests; they are still admitted.
	Closing  bool // Closing is set once no more requests are admitted.
	Trail    trail.Trail

	bounds      Bounds
	views       *immutable.Map[string, View]         // by target
	budgets     *immutable.Map[string, retry.Budget] // by service
	admitsSince time.Time                            // when the first request was admitted; zero for not yet
	peers       peerReports
	gateways    knownGateways
	places      map[string]int // of this gateway in the orders of the targets that may be cold; never written after construction
	startedAt   time.Time      // zero if nothing was sent before
	division    Division
	targetCells map[string]cell                    // by address; never written after construction
	homeLoads   *immutable.Map[string, homeReport] // by target of other cells
	groups      groups
	quarantine  quarantine.List
	statements  *immutable.Map[string, statement]      // by target
	schedules   *immutable.Map[string, quota.Schedule] // of the targets whose limits this gateway keeps
	queue       queue.Queue
	paces       *immutable.Map[string, paces]        // by service
	idle        *immutable.Map[string, interruption] // by service that had no target for a request
}

// Option configures the state of a gateway.
type Option func(*State)

// WithAddress sets the address by which other gateways know this one.
func WithAddress(address string) Option {
	return func(s *State) { s.gateways = newKnownGateways(address) }
}

// WithStart sets when the process started. Another one of the same gateway may have sent
// requests until then.
func WithStart(at time.Time) Option {
	return func(s *State) { s.startedAt = at }
}

// New returns the state of a gateway that has just started.
func New(name, domain string, bounds Bounds, options ...Option) State {
	s := State{
		Name: name, Domain: domain, Roster: roster.New(), bounds: bounds,
		views:     immutable.NewMap[string, View](nil),
		budgets:   immutable.NewMap[string, retry.Budget](nil),
		peers:     newPeerReports(),
		gateways:  newKnownGateways(""),
		homeLoads: immutable.NewMap[string, homeReport](nil),

		quarantine: quarantine.New(name),
		statements: immutable.NewMap[string, statement](nil),
		schedules:  immutable.NewMap[string, quota.Schedule](nil),
		queue:      queue.New(),
		paces:      immutable.NewMap[string, paces](nil),
		idle:       immutable.NewMap[string, interruption](nil),
	}
	for _, option := range options {
		option(&s)
	}
	return s
}

// Ready reports whether the load balancer should send requests to this gateway.
func (s State) Ready(now time.Time) bool {
	return s.Book.Version > 0 && !s.Retiring && s.Fresh(now) && !s.holds(now)
}

// Fresh reports whether the gateway synced within MaxStaleness. If so, it rejects
// all keys that were revoked before that span.
func (s State) Fresh(now time.Time) bool {
	return now.Sub(s.SyncedAt) < s.bounds.MaxStaleness
}

// WithBook returns the state with the published book if its version is higher than
// the present one, and the unchanged state otherwise.
func (s State) WithBook(published route.Book, now time.Time) State {
	before := s
	s.Book = s.Book.Newer(published)
	if s.Book.Version == before.Book.Version {
		return s
	}
	s.Trail = s.Trail.With(now, "configuration", "published", versionText(before.Book.Version), versionText(s.Book.Version))
	return s.withPlaces().recordColdShares(before, now)
}

// WithRoster returns the state with a new roster. It drops the views of removed
// targets that have no requests in flight and got none lately.
func (s State) WithRoster(r roster.Roster, now time.Time) State {
	s.Roster = r.Swept(now)
	for i := s.views.Iterator(); !i.Done(); {
		id, view, _ := i.Next()
		if _, found := s.Roster.Target(id); !found && view.InFlight == 0 && len(recentSends(view.sends, now)) == 0 {
			s.views = s.views.Delete(id)
		}
	}
	for i := s.homeLoads.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		if _, found := s.Roster.Target(id); !found {
			s.homeLoads = s.homeLoads.Delete(id)
		}
	}
	return s.withTargetPlaces().withoutOldStatements(now).withoutOldSchedules(now).withTargetCells()
}

// WithSync returns the state after a sync that covers everything published up to
// the given time.
func (s State) WithSync(at time.Time) State {
	if at.After(s.SyncedAt) {
		s.SyncedAt = at
	}
	return s
}

// WithRetiring returns the state of a gateway that is about to stop.
func (s State) WithRetiring(cause string, now time.Time) State {
	if !s.Retiring {
		s.Retiring = true
		s.Trail = s.Trail.With(now, "gateway "+s.Name, cause, "serving", "retiring")
	}
	return s
}

// WithClosing returns the state of a gateway that admits no more requests.
func (s State) WithClosing() State {
	s.Closing = true
	return s
}

// Drained reports whether the gateway admits no more requests and has none in flight.
func (s State) Drained() bool { return s.Closing && s.InFlight == 0 }

// Request is the part of a request that its admission depends on.
type Request struct {
	Host    string
	Path    string
	Key     string        // Key is empty if the caller sent none.
	Timeout time.Duration // Timeout is how long the caller waits; 0 means no limit.
	Parts   []string      // Parts are those by which the request is blamed for crashes; see package quarantine.
}

// Admission is an admitted request.
type Admission struct {
	Route    route.Route
	Account  string // Account is empty on public routes, and if the book declares no accounts.
	Service  string
	Priority int
	Deadline time.Time
	Version  uint64   // Version is that of the book under which the request was admitted.
	Parts    []string // Parts are those of the Request.

	Arrived time.Time
	Heard   time.Time   // Heard is when the caller last received a part of its answer, or when the request arrived.
	Permit  string      // Permit is the target for which the request has a permit; empty for none.
	Place   queue.Place // Place is the place of a request that waits for a target.

	// The latest forecast for a request that found no target.
	JudgedAt  time.Time
	Ahead     int           // Ahead is how many requests were expected to get a place before it.
	Wait      time.Duration // Wait is how much longer it was expected to wait.
	WaitUntil time.Time     // WaitUntil is until when it can be sent to be answered in time.
}

// The retry budget of one gateway.
const (
	extraRetriesFraction = 0.8 // of Bounds.MaxExtraRetries, for all gateways; those that have not met all others yet take more than their share
	newRetriesFraction   = 0.2 // of Bounds.MaxExtraRetries, for gateways that started within retry.Window, beside what processes before them spent
	newRetryReserve      = 1.0 // retries at most of such a gateway, which may have met few others
)

const staleRetryAfter = 300 * time.Millisecond // by then the gateway has probably read the platform again

// WithHeard returns the admission after the caller received a part of its answer.
func (a Admission) WithHeard(at time.Time) Admission {
	a.Heard = at
	return a
}

// Admit admits or refuses a request. An admitted one counts as in flight until
// WithRequestDone. The draw, a uniform random number in [0, 1), picks one of the
// route's services.
func (s State) Admit(r Request, draw float64, now time.Time) (State, Admission, *refusal.Refusal) {
	if s.Closing {
		return s, Admission{}, refused(refusal.New(refusal.Closing, refusal.No, "this instance is stopping; ask another").WithRetry(0))
	}
	if s.Book.Version == 0 {
		return s, Admission{}, refused(refusal.New(refusal.Closing, refusal.No, "this instance knows no configuration yet; ask again").WithRetry(staleRetryAfter))
	}
	selected, found := s.Book.Route(r.Host, r.Path)
	if !found {
		return s, Admission{}, refused(refusal.New(refusal.Service, refusal.No, "no route matches the host and path; check the address"))
	}
	a := Admission{Route: selected, Service: selected.Service(draw), Priority: selected.Priority, Version: s.Book.Version, Parts: r.Parts, Arrived: now, Heard: now}
	if s.Book.RequiresKeys() && !selected.Public {
		if !s.Fresh(now) {
			return s, Admission{}, refused(refusal.New(refusal.Closing, refusal.No, "this instance can't check keys at present; ask again").WithRetry(staleRetryAfter))
		}
		account, found := s.Book.Account(r.Key)
		if !found {
			return s, Admission{}, refused(refusal.New(refusal.Key, refusal.No, "the key belongs to no client account; check the Authorization header"))
		}
		a.Account = account.Name
		if account.HasPriority {
			a.Priority = account.Priority
		}
	}
	a.Deadline = now.Add(shorterTimeout(selected.Timeout, r.Timeout))
	s.InFlight++
	if s.admitsSince.IsZero() {
		s.admitsSince = now
	}
	s.budgets = s.budgets.Set(a.Service, s.budget(a.Service, now).WithFirstAttemptOf(s.retryReserve(now)))
	return s, a, nil
}

// shorterTimeout returns the shorter of two timeouts, where 0 means one hour.
func shorterTimeout(timeout, callerTimeout time.Duration) time.Duration {
	const longest = time.Hour
	if timeout <= 0 {
		timeout = longest
	}
	if callerTimeout <= 0 {
		callerTimeout = longest
	}
	return min(timeout, callerTimeout)
}

// Valid reports whether an admitted request may still be sent: its key still
// belongs to the account, as of a sync within MaxStaleness. Requests that were
// admitted without an account are always valid.
func (s State) Valid(key string, a Admission, now time.Time) bool {
	if a.Account == "" {
		return true
	}
	account, found := s.Book.Account(key)
	return found && account.Name == a.Account && s.Fresh(now)
}

// Repeatable reports whether the route that the host and path select by now allows a request
// to run more than once. It is true if no route does any more: then what was declared when
// the request was admitted holds.
func (s State) Repeatable(host, path string) bool {
	selected, found := s.Book.Route(host, path)
	return !found || selected.Repeatable()
}

// WithRequestDone returns the state after an admitted request ended.
func (s State) WithRequestDone() State {
	s.InFlight = max(0, s.InFlight-1)
	return s
}

// WithRetry takes a retry from the service's retry budget, and reports whether the
// budget allowed it.
func (s State) WithRetry(service string, now time.Time) (State, bool) {
	budget, allowed := s.budget(service, now).TakeOf(s.retryReserve(now))
	if allowed {
		s.budgets = s.budgets.Set(service, budget)
	}
	return s, allowed
}

// retryReserve returns the number of retries in this gateway's full budget: its share
// of MaxExtraRetries, divided by the gateways that it has met. One that has met none, or
// only some, may have started beside many others, and the process before it may have
// spent its share within retry.Window. A share below one is not rounded up: the budget then
// allows a retry only after as many first attempts as make up for the rest, which lapse.
func (s State) retryReserve(now time.Time) float64 {
	if !s.bounds.LimitRetries {
		return retry.Reserve
	}
	met := s.peers.count()
	share := s.bounds.MaxExtraRetries / float64(met+1)
	if met == 0 || s.admitsSince.IsZero() || now.Sub(s.admitsSince) < retry.Window {
		return min(newRetriesFraction*share, newRetryReserve)
	}
	return min(extraRetriesFraction*share, retry.Reserve)
}

func (s State) budget(service string, now time.Time) retry.Budget {
	budget, _ := s.budgets.Get(service)
	return budget.At(now)
}

func refused(r refusal.Refusal) *refusal.Refusal { return &r }

func versionText(v uint64) string { return "version " + strconv.FormatUint(v, 10) }
