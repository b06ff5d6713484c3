package fleet

import (
	"slices"
	"time"
)

// Defaults of a Service, a Target and an Account.
const (
	DefaultDeadline   = 60 * time.Second
	DefaultLimit      = 8
	DefaultRate       = 50.0
	DefaultBurst      = 100
	DefaultConcurrent = 50
)

// Domain is a failure domain: instances that can be lost or cut off together.
type Domain struct {
	Name string
	Evacuated  bool // Out is true while operators keep the domain from new work.
}

// NewDomain returns a failure domain that takes new work.
func NewDomain(name string) Domain {
	return Domain{Name: name}
}

// WithEvacuated returns the domain taken out of service, or brought back.
func (d Domain) WithEvacuated(out bool) Domain {
	d.Evacuated = out
	return d
}

// Kind tells what stands behind a service.
type Kind string

// The kinds of service.
const (
	Model Kind = "model" // Model engines stream their answers.
	Plain Kind = "plain" // Plain services answer in one piece.
)

// Service is something that callers ask for by name.
type Service struct {
	Name     string
	Kind     Kind
	Deadline time.Duration // Deadline bounds one request, from its arrival to its last byte.
	Resumes  bool          // Resumes: any target can continue an idempotent call's answer from an offset.

	idempotent []string // sorted, never written after construction
}

// NewService returns a service none of whose calls is idempotent.
func NewService(name string, kind Kind) Service {
	return Service{Name: name, Kind: kind, Deadline: DefaultDeadline}
}

// WithDeadline returns the service with another bound on the time of a request.
func (s Service) WithDeadline(deadline time.Duration) Service {
	s.Deadline = deadline
	return s
}

// WithResumes returns the service declared able, or not, to continue an
// idempotent call's answer from an offset.
func (s Service) WithResumes(resumes bool) Service {
	s.Resumes = resumes
	return s
}

// WithIdempotent returns the service with exactly these calls declared
// idempotent. Every other call runs at most once.
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

// IdempotentCalls returns the calls declared idempotent, sorted.
func (s Service) IdempotentCalls() []string {
	return slices.Clone(s.idempotent)
}

// Account is a client account: who a caller is and how much it may ask for.
type Account struct {
	Name       string
	Digest     string  // Digest is the SHA-256 of the account's key, in lower-case hex.
	Rate       float64 // Rate is the sustained number of requests a second.
	Burst      int     // Burst is the number of requests that may come at once.
	MaxConcurrent int     // Concurrent is the number of requests in flight.
	Priority   int     // Priority orders accounts when load is shed; higher is shed later.
}

// NewAccount returns an account with default limits. The digest is the SHA-256
// of its key, in lower-case hex.
func NewAccount(name, digest string) Account {
	return Account{Name: name, Digest: digest, Rate: DefaultRate, Burst: DefaultBurst, MaxConcurrent: DefaultConcurrent}
}

// WithRate returns the account with another sustained rate and burst.
func (a Account) WithRate(rate float64, burst int) Account {
	a.Rate, a.Burst = rate, burst
	return a
}

// WithMaxConcurrent returns the account with another bound on requests in flight.
func (a Account) WithMaxConcurrent(concurrent int) Account {
	a.MaxConcurrent = concurrent
	return a
}

// WithPriority returns the account with another priority.
func (a Account) WithPriority(priority int) Account {
	a.Priority = priority
	return a
}

// Target is a back end: a model engine or a plain service with its agent.
type Target struct {
	Name    string
	Service string
	Domain  string
	Address string        // Address is the IP and port of the target's agent.
	Limit   int           // Limit is the number of requests the target bears at once.
	ColdLimit    int           // Cold is the number it bears just after its start.
	RampUp    time.Duration // Warm is how long it takes from cold to its limit.
	RequiredLoad    string        // Load names the model, adapter and version that its engine is to have; empty for any.
	Leaving bool          // Leaving is true while operators keep the target from new work.
}

// NewTarget returns a target whose agent listens at address.
func NewTarget(name, service, domain, address string) Target {
	return Target{Name: name, Service: service, Domain: domain, Address: address, Limit: DefaultLimit, ColdLimit: DefaultLimit}
}

// WithAddress returns the target with its agent at another address.
func (t Target) WithAddress(address string) Target {
	t.Address = address
	return t
}

// WithLimit returns the target with another bound on concurrent requests, which
// it bears from its start.
func (t Target) WithLimit(limit int) Target {
	t.Limit, t.ColdLimit = limit, limit
	return t
}

// WithColdStart returns the target with what it bears just after its start, and how
// long it takes from there to its limit.
func (t Target) WithColdStart(cold int, warm time.Duration) Target {
	t.ColdLimit, t.RampUp = cold, warm
	return t
}

// WithRequiredLoad returns the target with what its engine is to have loaded.
func (t Target) WithRequiredLoad(load string) Target {
	t.RequiredLoad = load
	return t
}

// WithLeaving returns the target marked as leaving, or as staying.
func (t Target) WithLeaving(leaving bool) Target {
	t.Leaving = leaving
	return t
}

// Group is a set of targets whose ranks advance in lock-step on one expert map.
type Group struct {
	Name    string
	Experts int // Experts is the number of experts in each layer.

	targets []string // in rank order, never written after construction
}

// NewGroup returns a group of the named targets, in rank order.
func NewGroup(name string, experts int, targets ...string) Group {
	return Group{Name: name, Experts: experts, targets: slices.Clone(targets)}
}

// WithTargets returns the group made of other targets, in rank order.
func (g Group) WithTargets(targets ...string) Group {
	g.targets = slices.Clone(targets)
	return g
}

// Targets returns the names of the group's targets in rank order.
func (g Group) Targets() []string {
	return slices.Clone(g.targets)
}
