package fleet

import (
	"slices"
	"time"
)

// Defaults of a Service, a Target and an Account.
const (
	DefaultDeadline      = 60 * time.Second
	DefaultLimit         = 8
	DefaultRate          = 50.0
	DefaultBurst         = 100
	DefaultMaxConcurrent = 50
)

// Domain is a failure domain: instances that can fail or become unreachable
// together.
type Domain struct {
	Name      string
	Evacuated bool // Evacuated means that targets in the domain get no new work.
}

// NewDomain returns a failure domain that is not evacuated.
func NewDomain(name string) Domain {
	return Domain{Name: name}
}

// WithEvacuated returns the domain as evacuated or not.
func (d Domain) WithEvacuated(evacuated bool) Domain {
	d.Evacuated = evacuated
	return d
}

// Kind is the kind of a service's targets.
type Kind string

// The kinds of service.
const (
	Model Kind = "model" // The targets are model engines, which stream their answers.
	Plain Kind = "plain" // The targets return each answer as a whole.
)

// Service is a service that callers request by name.
type Service struct {
	Name     string
	Kind     Kind
	Deadline time.Duration // Deadline bounds a request from its arrival to the last byte of its answer.
	Resumes  bool          // Resumes means that any target can continue an idempotent call's answer from an offset.

	idempotent []string // sorted, never written after construction
}

// NewService returns a service without idempotent calls.
func NewService(name string, kind Kind) Service {
	return Service{Name: name, Kind: kind, Deadline: DefaultDeadline}
}

// WithDeadline returns the service with the given Deadline.
func (s Service) WithDeadline(deadline time.Duration) Service {
	s.Deadline = deadline
	return s
}

// WithResumes returns the service with the given value of Resumes.
func (s Service) WithResumes(resumes bool) Service {
	s.Resumes = resumes
	return s
}

// WithIdempotent returns the service with calls as its only idempotent calls.
// All other calls run at most once.
func (s Service) WithIdempotent(calls ...string) Service {
	sorted := slices.Clone(calls)
	slices.Sort(sorted)
	s.idempotent = slices.Compact(sorted)
	return s
}

// Idempotent reports whether a call may safely run more than once.
func (s Service) Idempotent(call string) bool {
	_, found := slices.BinarySearch(s.idempotent, call)
	return found
}

// IdempotentCalls returns the names of the idempotent calls, sorted.
func (s Service) IdempotentCalls() []string {
	return slices.Clone(s.idempotent)
}

// Account is a client account: the identity of a caller and its limits.
type Account struct {
	Name          string
	Digest        string  // Digest is the SHA-256 of the account's key, in lower-case hex.
	Rate          float64 // Rate is the sustained limit, in requests per second.
	Burst         int     // Burst is the capacity of the token bucket that Rate refills, in requests.
	MaxConcurrent int     // MaxConcurrent bounds the requests in flight.
	Priority      int     // Priority orders accounts when load is shed; the highest is shed last.
}

// NewAccount returns an account with default limits. The digest is the SHA-256
// of its key, in lower-case hex.
func NewAccount(name, digest string) Account {
	return Account{Name: name, Digest: digest, Rate: DefaultRate, Burst: DefaultBurst, MaxConcurrent: DefaultMaxConcurrent}
}

// WithRate returns the account with the given Rate and Burst.
func (a Account) WithRate(rate float64, burst int) Account {
	a.Rate, a.Burst = rate, burst
	return a
}

// WithMaxConcurrent returns the account with the given MaxConcurrent.
func (a Account) WithMaxConcurrent(maxConcurrent int) Account {
	a.MaxConcurrent = maxConcurrent
	return a
}

// WithPriority returns the account with the given Priority.
func (a Account) WithPriority(priority int) Account {
	a.Priority = priority
	return a
}

// Target is a back end (a model engine or a plain server) with its agent.
type Target struct {
	Name         string
	Service      string
	Domain       string
	Address      string        // Address is the IP and port of the target's agent.
	Limit        int           // Limit bounds the target's concurrent requests.
	ColdLimit    int           // ColdLimit bounds the concurrent requests right after the target's start.
	RampUp       time.Duration // RampUp is the time from the start until Limit applies in full.
	RequiredLoad string        // RequiredLoad names the model, adapter and version that the engine must have loaded; "" for any.
	Leaving      bool          // Leaving means that operators allow the target no new work.
}

// NewTarget returns a target whose agent listens at address.
func NewTarget(name, service, domain, address string) Target {
	return Target{Name: name, Service: service, Domain: domain, Address: address, Limit: DefaultLimit, ColdLimit: DefaultLimit}
}

// WithAddress returns the target with its agent at the given address.
func (t Target) WithAddress(address string) Target {
	t.Address = address
	return t
}

// WithLimit returns the target with both Limit and ColdLimit set to limit.
func (t Target) WithLimit(limit int) Target {
	t.Limit, t.ColdLimit = limit, limit
	return t
}

// WithColdStart returns the target with the given ColdLimit and RampUp.
func (t Target) WithColdStart(coldLimit int, rampUp time.Duration) Target {
	t.ColdLimit, t.RampUp = coldLimit, rampUp
	return t
}

// WithRequiredLoad returns the target with the given RequiredLoad.
func (t Target) WithRequiredLoad(required string) Target {
	t.RequiredLoad = required
	return t
}

// WithLeaving returns the target as leaving or not.
func (t Target) WithLeaving(leaving bool) Target {
	t.Leaving = leaving
	return t
}

// Group is a set of targets, one per rank, that run each step together and share
// one expert map, which places the experts on the ranks.
type Group struct {
	Name    string
	Experts int // Experts is the number of experts in each layer.

	targets []string // in rank order, never written after construction
}

// NewGroup returns a group of the named targets, in rank order.
func NewGroup(name string, experts int, targets ...string) Group {
	return Group{Name: name, Experts: experts, targets: slices.Clone(targets)}
}

// WithTargets returns the group with the given targets, in rank order.
func (g Group) WithTargets(targets ...string) Group {
	g.targets = slices.Clone(targets)
	return g
}

// Targets returns the names of the group's targets in rank order.
func (g Group) Targets() []string {
	return slices.Clone(g.targets)
}
