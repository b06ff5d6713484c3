package lead

import (
	"context"
	"time"

	"hornbeamtray/core/route"
	"hornbeamtray/core/switching"
)

// Observation is what one rank's steward says of its rank.
type Observation struct {
	Group  string // Group names the group of ranks.
	Status switching.Status
	Busy   int      // Busy counts the requests that run or wait at the rank.
	Pace   float64  // Pace is how many times longer than usual the rank's work takes.
	Counts []uint64 // Counts tells how often requests chose each expert since the rank started, set by set.
	Lists  [][]int  // Lists are the experts that the rank holds, by set.
	Direct bool     // Direct: the rank itself told it, not the steward beside it.
}

// Ranks reaches the ranks of the own group.
type Ranks interface {
	// Own observes the own rank.
	Own(ctx context.Context) (Observation, error)
	// One observes one rank: through its steward, or where that gives no answer
	// directly, which tells no counts, lists only where they are wanted, and the
	// rest a little late.
	One(ctx context.Context, rank int, lists bool) (Observation, error)
	// All observes all ranks of a group whose stewards can be reached, by rank.
	// With counts, some of them tell their counts, and it may take longer: stewards
	// that gave no answer are asked again.
	All(ctx context.Context, group string, own Observation, counts bool) map[int]Observation
	// Asked returns when another steward last observed the own rank.
	Asked() time.Time
	// Order orders one rank.
	Order(ctx context.Context, o switching.Order) switching.Result
}

// Shapes tells the shape of the own group; false while it is not known or where
// the engines have no experts.
type Shapes interface {
	Shape() (route.Engine, bool)
}

// Meter counts and times what the steward does.
type Meter interface {
	Inc(name, kind string)
	Gauge(name string, value float64)
	Observe(name string, d time.Duration)
}

// Journal writes events.
type Journal interface {
	Event(event string, pairs ...any)
}
