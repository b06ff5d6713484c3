package route

import "time"

// Kind states how often a request may run and whether its answer is a stream.
type Kind string

// The kinds of route.
const (
	Idempotent Kind = "idempotent" // A request may run more than once.
	AtMostOnce Kind = "once"       // A request runs at most once.
	Stream     Kind = "stream"     // The answer is a stream of events.
)

// Share is a service with its weight in the split of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route selects a service for the requests of one host and path prefix.
type Route struct {
	Name         string
	Host         string
	Prefix       string // Prefix begins and ends with a slash.
	Kind         Kind
	Timeout      time.Duration // Timeout bounds the time to answer a request.
	Objective    time.Duration // Objective is the operator's objective for the time to a stream's first event; see EventTimeout.
	GapObjective time.Duration // GapObjective is the operator's objective for the gaps between events of a stream; see EventTimeout.
	Priority     int           // Priority orders requests; 0 is the highest.
	Attempts     int           // Attempts bounds the attempts of a request that may have run; attempts that certainly did not run are not counted.
	Public       bool          // Public routes need no API key.
	Resumable    bool          // Resumable means that another run can continue a stream after any event.
	Shares       []Share       // never written after construction
}

// The platform defines how long a caller of a stream waits for the next event:
// the longest of these three times.
const (
	minEventTimeout = 2 * time.Second
	objectiveFactor = 4 // times Route.Objective
	gapFactor       = 8 // times Route.GapObjective
)

// EventTimeout returns how long a caller of a stream waits for each event, including the
// first, before it leaves.
func (r Route) EventTimeout() time.Duration {
	return max(minEventTimeout, objectiveFactor*r.Objective, gapFactor*r.GapObjective)
}

// Repeatable reports whether a request may safely run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service for a request, chosen by weight. The draw is a
// uniform random number in [0, 1).
func (r Route) Service(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	remaining := draw * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(max(0, s.Weight))
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the experts of a service's model engines, which an expert map
// places on the ranks of a group. The zero value describes engines without experts.
type Engine struct {
	Layers            int // Layers is the number of layer sets; the layers of a set share one placement of experts.
	Experts           int // Experts is the number of experts in each set.
	MaxExpertsPerRank int // MaxExpertsPerRank bounds the experts of one set on one rank.
	MaxNewExperts     int // MaxNewExperts bounds the experts of one set that a new expert map adds to one rank.
}

// Service is a service that routes send requests to.
type Service struct {
	Name       string
	ColdRate   float64       // ColdRate is the number of requests per second that a cold target can take; 0 means no bound.
	ColdPeriod time.Duration // ColdPeriod is how long a target stays cold after its start.
	Engine     Engine        // Engine is the zero value for a plain service.
}

// Account is a client account.
type Account struct {
	Name        string
	Priority    int
	HasPriority bool // HasPriority means that Priority replaces the priority of the route.
}

// Limits holds the limits on requests that operators publish to callers. A field is zero if
// the configuration gives no usable value for it.
type Limits struct {
	Body        int           // Body is the maximum size of a request body, in bytes.
	Head        int           // Head is the maximum size of a request's header lines, in bytes.
	HeadTimeout time.Duration // HeadTimeout bounds the time in which a caller sends a request's head.
	IdleTimeout time.Duration // IdleTimeout is how long a caller's connection may be idle between two requests.
}
