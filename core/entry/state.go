// Package entry makes the decisions of one entry instance: which requests it
// admits, which target each request goes to, and the condition of each target.
//
// A State is an immutable value that the instance's control goroutine replaces
// at each event. It sends nothing and is independent of the message formats.
package entry

import (
	"time"

	"github.com/benbjohnson/immutable"

	"hornbeamtray/core/fleet"
	"hornbeamtray/core/limit"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/retry"
	"hornbeamtray/core/ticket"
	"hornbeamtray/core/trail"
)

// Default bounds of a State.
const (
	DefaultInFlight      = 1024            // DefaultInFlight is the default bound on the requests in flight at the instance.
	DefaultReportTimeout = 6 * time.Second // DefaultReportTimeout is how long, by default, a target counts as alive after its last report.
)

// State is the state of an entry instance.
type State struct {
	Name          string
	Domain        string
	Configuration fleet.Configuration
	InFlight      int
	Retiring      bool // Retiring: the instance reports that it is not ready, but still admits requests.
	Closing       bool // Closing: the instance admits no more requests.
	Trail         trail.Trail

	maxInFlight    int
	reportTimeout  time.Duration
	ticketLifetime time.Duration
	activeAccounts int                                  // number of client accounts with requests in flight
	views          *immutable.SortedMap[string, View]   // by target name
	watched        map[string][]string                  // names of the watched targets by service; the map is never modified
	instances      int                                  // number of entry instances that share the limits of client accounts
	leaving        map[string]bool                      // targets that the platform lists as leaving; the map is never modified
	usages         *immutable.Map[string, limit.Usage]  // by account name
	budgets        *immutable.Map[string, retry.Budget] // keys are "account/NAME" and "service/NAME"
}

// Option sets a bound of a State.
type Option func(*State)

// WithInFlight sets the bound on the requests in flight at the instance.
func WithInFlight(requests int) Option {
	return func(s *State) { s.maxInFlight = requests }
}

// WithReportTimeout sets how long a target counts as alive after its last report.
func WithReportTimeout(timeout time.Duration) Option {
	return func(s *State) { s.reportTimeout = timeout }
}

// WithTicketLifetime sets the time from minting a ticket to its expiry, at most
// ticket.Lifetime.
func WithTicketLifetime(lifetime time.Duration) Option {
	return func(s *State) { s.ticketLifetime = min(lifetime, ticket.Lifetime) }
}

// New returns the initial state of an entry instance.
func New(name, domain string, options ...Option) State {
	s := State{
		Name:           name,
		Domain:         domain,
		Configuration:  fleet.NewConfiguration(),
		maxInFlight:    DefaultInFlight,
		reportTimeout:  DefaultReportTimeout,
		ticketLifetime: ticket.Lifetime,
		instances:      1,
		views:          immutable.NewSortedMap[string, View](nil),
		usages:         immutable.NewMap[string, limit.Usage](nil),
		budgets:        immutable.NewMap[string, retry.Budget](nil),
	}
	for _, option := range options {
		option(&s)
	}
	return s
}

// Ready reports whether the instance can serve: it has a configuration and is
// not shutting down.
func (s State) Ready() bool {
	return s.Configuration.Version > 0 && !s.Retiring && !s.Closing
}

// WithConfiguration returns the state after a configuration was published. Only a
// newer configuration without faults takes effect; a faulty one is recorded in the
// trail.
func (s State) WithConfiguration(offered fleet.Configuration, faults []fleet.Fault, now time.Time) State {
	before := s.Configuration.Version
	s.Configuration, s.Trail = offered.Accept(s.Configuration, s.Trail, faults, now)
	if s.Configuration.Version == before {
		return s
	}
	s.watched = map[string][]string{}
	for _, t := range WatchedTargets(s.Configuration, s.Name, s.Domain) {
		s.watched[t.Service] = append(s.watched[t.Service], t.Name)
	}
	return s.withoutRemovedViews().withInstanceCount()
}

// WithRetiring returns the state after the instance began to shut down. It still
// admits requests until WithClosing.
func (s State) WithRetiring(cause string, now time.Time) State {
	if s.Retiring {
		return s
	}
	s.Retiring = true
	s.Trail = s.Trail.With(now, "entry "+s.Name, cause, "serving", "retiring")
	return s
}

// WithClosing returns the state after the instance stopped admitting requests.
func (s State) WithClosing() State {
	s.Closing = true
	return s
}

// Drained reports whether the instance is closing and no request is in flight.
func (s State) Drained() bool { return s.Closing && s.InFlight == 0 }

// Admission is an admitted request.
type Admission struct {
	Account  string
	Service  fleet.Service
	Call     string
	Deadline time.Time
}

// Admit decides whether to admit a request of the account with this key digest.
// If it doesn't, it returns a refusal with ran=no.
func (s State) Admit(digest, service, call string, now time.Time) (State, Admission, *refusal.Refusal) {
	account, found := s.Configuration.AccountByDigest(digest)
	if !found {
		return s, Admission{}, pointerTo(refusal.New(refusal.Key, refusal.No, "the key belongs to no client account; check the Authorization header"))
	}
	declared, found := s.Configuration.Service(service)
	if !found {
		return s, Admission{}, pointerTo(refusal.New(refusal.Service, refusal.No, "the service does not exist; check its name in the path"))
	}
	if s.Closing {
		return s, Admission{}, pointerTo(refusal.New(refusal.Closing, refusal.No, "this instance is shutting down; try again").WithRetry(0))
	}
	usage, _ := s.usages.Get(account.Name)
	load := limit.Load{InFlight: s.InFlight, MaxInFlight: s.maxInFlight, Accounts: s.activeAccounts}
	if load.Sheds(account.Priority, usage.InFlight) {
		return s, Admission{}, pointerTo(refusal.New(refusal.Busy, refusal.No, "this instance is full; try again").WithRetry(time.Second))
	}
	usage, verdict := usage.Take(limit.Share(account, s.Instances()), now)
	s.usages = s.usages.Set(account.Name, usage)
	if !verdict.Allowed {
		return s, Admission{}, pointerTo(refusal.New(refusal.Limit, refusal.No, "the client account is over its limit; slow down").WithRetry(verdict.RetryAfter))
	}
	if usage.InFlight == 1 {
		s.activeAccounts++
	}
	s.InFlight++
	s.budgets = s.budgets.Set(accountKey(account.Name), s.budget(accountKey(account.Name)).WithFirstAttempt())
	s.budgets = s.budgets.Set(serviceKey(service), s.budget(serviceKey(service)).WithFirstAttempt())
	return s, Admission{Account: account.Name, Service: declared, Call: call, Deadline: now.Add(declared.Deadline)}, nil
}

// Released returns the state after an admitted request ended.
func (s State) Released(a Admission) State {
	s.InFlight = max(0, s.InFlight-1)
	usage, _ := s.usages.Get(a.Account)
	if usage.InFlight == 1 {
		s.activeAccounts--
	}
	s.usages = s.usages.Set(a.Account, usage.Released())
	return s
}

// Instances returns the number of entry instances in the failure domain, among
// which the limits of client accounts are divided: the highest number that any
// connected agent of the domain reports, and at least 1.
func (s State) Instances() int { return s.instances }

func (s State) withInstanceCount() State {
	s.instances = 1
	for i := s.views.Iterator(); !i.Done(); {
		name, view, _ := i.Next()
		if view.Report.Entries <= s.instances || view.Lost {
			continue
		}
		if t, found := s.Configuration.Target(name); found && t.Domain == s.Domain {
			s.instances = view.Report.Entries
		}
	}
	return s
}

// TakeRetry takes one retry of the request from the retry budgets of its account
// and its service and returns true. If either budget is used up, it takes nothing
// and returns false.
func (s State) TakeRetry(a Admission) (State, bool) {
	account, accountAllows := s.budget(accountKey(a.Account)).Take()
	service, serviceAllows := s.budget(serviceKey(a.Service.Name)).Take()
	if !accountAllows || !serviceAllows {
		return s, false
	}
	s.budgets = s.budgets.Set(accountKey(a.Account), account)
	s.budgets = s.budgets.Set(serviceKey(a.Service.Name), service)
	return s, true
}

func (s State) budget(key string) retry.Budget {
	budget, _ := s.budgets.Get(key)
	return budget
}

func pointerTo(r refusal.Refusal) *refusal.Refusal { return &r }

func accountKey(name string) string { return "account/" + name }

func serviceKey(name string) string { return "service/" + name }
