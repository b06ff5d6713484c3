package route

import "time"

// Kind tells how often a request may run.
type Kind string

// The kinds of route.
const (
	Idempotent Kind = "idempotent" // Idempotent requests may run more than once.
	AtMostOnce Kind = "once"       // Once: a request runs at most once.
	Stream     Kind = "stream"     // Stream: the answer is a series of numbered events.
)

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route selects a service for the requests of one host below one path.
type Route struct {
	Name        string
	Host        string
	Prefix      string // Prefix begins and ends with a slash.
	Kind        Kind
	Timeout     time.Duration // Timeout bounds how long a caller is kept waiting.
	LatencyGoal time.Duration // Goal is when an answer, or a stream's first event, is on time.
	GapGoal     time.Duration // Pause is the longest between events of a stream that is on time.
	Priority    int           // Priority orders requests; 0 goes first.
	Attempts    int           // Attempts bounds the targets that one request may be sent to.
	Public      bool          // Public requests carry no key.
	Resumable   bool          // Resumable: another run can continue a stream after an event.
	Shares      []Share       // never written after construction
}

// Callers of a stream wait for its next event for so long, whichever is longest;
// the platform says so.
const (
	minEventTimeout   = 2 * time.Second
	latencyGoalFactor = 4 // times a route's goal
	gapGoalFactor     = 8 // times its longest pause that is on time
)

// EventTimeout returns how long a caller of a stream waits for each event, also for
// the first.
func (r Route) EventTimeout() time.Duration {
	return max(minEventTimeout, latencyGoalFactor*r.LatencyGoal, gapGoalFactor*r.GapGoal)
}

// Repeatable reports whether a second run of a request does no harm.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service picks the service of one request; the draw is an even random number
// from 0 up to 1.
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

// Engine is what operators declare of a service's model engines. It is empty
// for engines without experts.
type Engine struct {
	Layers            int // Layers counts the sets of layers that are placed alike.
	Experts           int // Experts counts the experts of one set.
	MaxExpertsPerRank int // Places bounds the experts of one set on one rank.
	MaxNewExperts     int // Spare bounds the experts new to one rank and set in one map.
}

// Service is something that routes lead to.
type Service struct {
	Name       string
	ColdRate   float64       // ColdRate counts the requests a second that a cold target bears; 0 for no bound.
	ColdPeriod time.Duration // Cold is how long a target stays cold after its start.
	Engine     Engine        // Engine is empty for a plain service.
}

// Account is a client account.
type Account struct {
	Name        string
	Priority    int
	HasPriority bool // Ranked: the account's priority replaces that of the route.
}

// Limits bound what a caller may send.
type Limits struct {
	Body int // Body bounds a request's body, in bytes.
}
