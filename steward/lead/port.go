package lead

import (
	"context"
	"time"

	"hornbeamtray/core/route"
	"hornbeamtray/core/switching"
)

// Observation is the observed state of one rank.
type Observation struct {
	Group  string // Group names the group of ranks.
	Status switching.Status
	Busy   int      // Busy is the number of requests that run or wait at the rank.
	Pace   float64  // Pace is the factor by which the rank's work takes longer than usual.
	Counts []uint64 // Counts is how often requests chose each expert since the rank started: the experts of the first layer set, then of the next.
	Lists  [][]int  // Lists are the experts that the rank holds, by layer set.
	Direct bool     // Direct reports whether the rank was queried directly instead of through the steward beside it.
}

// status returns the rank's status, which lags if the rank was queried directly.
func (o Observation) status() switching.Status {
	o.Status.Lagging = o.Direct
	return o.Status
}

// Ranks observes the ranks of the own group and sends them orders.
type Ranks interface {
	// ObserveOwn observes the own rank.
	ObserveOwn(ctx context.Context) (Observation, error)
	// OwnCounts reads the counts of the own rank alone, which costs less than
	// ObserveOwn.
	OwnCounts(ctx context.Context) ([]uint64, error)
	// ObserveRank observes one rank through its steward. If that does not answer, it
	// queries the rank directly; then the observation has no counts, has lists only
	// on request, and may be slightly out of date.
	ObserveRank(ctx context.Context, rank int, lists bool) (Observation, error)
	// ObserveAll observes the ranks of a group whose stewards can be reached, and
	// returns the observations by rank. If counts is true, some of them have counts,
	// and the call may take longer, since it also queries stewards that did not answer
	// last time.
	ObserveAll(ctx context.Context, group string, own Observation, counts bool) map[int]Observation
	// QueriedAt returns when another steward last observed the own rank.
	QueriedAt() time.Time
	// Orders sends orders to the ranks that they name, and returns the results in the
	// same order.
	Orders(ctx context.Context, orders []switching.Order) []switching.Result
}

// Shapes returns the shape of the own group's engines, or false if it is not known
// or the engines have no experts.
type Shapes interface {
	Shape() (route.Engine, bool)
}

// Meter records the steward's metrics.
type Meter interface {
	Inc(name, kind string)
	Gauge(name string, value float64)
	Observe(name string, d time.Duration)
}

// Journal logs events.
type Journal interface {
	Event(event string, pairs ...any)
}
