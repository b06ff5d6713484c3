package lead

import (
	"context"
	"maps"
	"sync"
	"time"

	"hornbeamtray/core/switching"
)

// cacheTTL is how long an observation of a rank is used while its steward doesn't
// answer and no switch is in progress. It limits direct queries of ranks on other
// instances, which are expensive.
const cacheTTL = time.Second

// cachedObservation is an observation of a rank and its time.
type cachedObservation struct {
	observation Observation
	at          time.Time
}

// observationCache holds the latest observation of each rank of a group. It is used
// only on the goroutine of Lead.
type observationCache struct {
	latest map[int]cachedObservation
}

// fill returns the observations together with those of the ranks whose stewards did
// not answer. For each of these it uses the cached observation if that is usable and
// the coordinator is idle, and otherwise calls ObserveRank. An old status of
// the same epoch can't make a pass begin on two maps: core/switching is tested with
// late statuses.
func (c *observationCache) fill(ctx context.Context, ranks Ranks, own Observation, observed map[int]Observation, idle bool, now time.Time) map[int]Observation {
	merged, latest := maps.Clone(observed), map[int]cachedObservation{}
	for rank, o := range observed {
		latest[rank] = cachedObservation{observation: o, at: now}
	}
	var pending sync.WaitGroup
	var queries []*query
	for rank := range own.Status.Size {
		if _, observedNow := observed[rank]; observedNow {
			continue
		}
		cached := c.latest[rank]
		if !cached.sameEpoch(own) {
			cached = cachedObservation{}
		}
		if idle && cached.usable(own.Status, now) {
			merged[rank], latest[rank] = cached.observation, cached
			continue
		}
		q := &query{ranks: ranks, ctx: ctx, rank: rank, cached: cached}
		queries = append(queries, q)
		pending.Go(q.run)
	}
	pending.Wait()
	for _, q := range queries {
		latest[q.rank] = q.cached
		if q.err == nil {
			merged[q.rank], latest[q.rank] = q.observation, cachedObservation{observation: q.observation, at: now}
		}
	}
	c.latest = latest
	return merged
}

// sameEpoch reports whether the observation is of the own group and its current
// epoch.
func (c cachedObservation) sameEpoch(own Observation) bool {
	return !c.at.IsZero() && c.observation.Group == own.Group && c.observation.Status.Epoch == own.Status.Epoch
}

// usable reports whether the observation may be used instead of a new one.
func (c cachedObservation) usable(own switching.Status, now time.Time) bool {
	status := c.observation.Status
	return now.Sub(c.at) < cacheTTL && status.Map == own.Map && status.Armed == 0 && status.Held == 0
}

// query observes a rank whose steward did not answer ObserveAll.
type query struct {
	ranks       Ranks
	ctx         context.Context
	rank        int
	cached      cachedObservation // of the current epoch; zero for none
	observation Observation
	err         error
}

// run queries the rank. It requests the lists only if none are cached for the rank's
// map, since they are expensive to read from another instance and change only with
// the map.
func (q *query) run() {
	haveLists := !q.cached.at.IsZero()
	q.observation, q.err = q.ranks.ObserveRank(q.ctx, q.rank, !haveLists)
	if q.err != nil || !haveLists || q.observation.Lists != nil {
		return
	}
	if q.observation.Status.Map == q.cached.observation.Status.Map {
		q.observation.Lists = q.cached.observation.Lists
		return
	}
	q.observation, q.err = q.ranks.ObserveRank(q.ctx, q.rank, true)
}
