// Package lead balances the load of the ranks of a group. The leader, which is the
// steward beside rank 0, measures the popularity of the experts, plans a placement
// and switches the group to it. During a switch one rank, the holder, holds a pass:
// it keeps the pass from beginning. If the leader fails then, the guardian, which is
// the steward beside the holder, resolves the held pass.
//
// Package core/expert plans the placements, and core/switching, which explains
// passes, maps and epochs, decides which orders to send. This package observes the
// ranks and sends the orders.
package lead

import (
	"context"
	"math/rand/v2"
	"time"

	"gopkg.in/tomb.v2"

	"hornbeamtray/core/expert"
	"hornbeamtray/core/route"
	"hornbeamtray/core/switching"
)

const (
	idleInterval      = 250 * time.Millisecond // between rounds while no switch is in progress; demand shifts within seconds
	prepareInterval   = 60 * time.Millisecond  // between rounds while ranks copy; a copy takes tens of milliseconds per expert
	heldInterval      = 15 * time.Millisecond  // between rounds while a pass is held
	guardInterval     = 150 * time.Millisecond // between rounds of the steward beside the holder
	maxRoundGap       = switching.ArmWindow    // after a longer gap while a pass may be held, the leader makes a new coordinator, since the guardian may have acted
	maxOrderRounds    = 6                      // rounds of orders before all ranks are observed again
	versionOffsetBits = 12                     // size of the random offset that a switch adds to its version

	skewTrigger = 1.75 // a layer set with a higher ratio of its skew to expert.MinSkew gets a new placement
	skewTarget  = 1.35 // the ratio at which the search for a new placement stops

	maxRenewals = 3 // switches in a row that are given up for a new plan while ranks copy; demand that shifts faster than that is never caught up with
)

// Lead leads the own group if the own rank is 0, and acts as its guardian if the own
// rank is the holder.
type Lead struct {
	tomb    tomb.Tomb
	ranks   Ranks
	shapes  Shapes
	meter   Meter
	journal Journal
	clock   func() time.Time

	// The fields below are used only by run.
	demand       demand
	group        string
	cache        observationCache
	coordinator  switching.Coordinator
	planned      plannedSwitch
	timing       switching.Timing
	observedAt   time.Time // before the ranks were observed in the round
	armingSince  time.Time // observedAt of the round in which the last switch began to hold a pass
	leading      bool
	targetLost   bool
	roundEndedAt time.Time // when the last round ended
	held         heldPass
	guarding     bool
}

// New starts a Lead, which runs until Close. The clock must advance while the
// instance is suspended.
func New(ranks Ranks, shapes Shapes, meter Meter, journal Journal, clock func() time.Time) *Lead {
	l := &Lead{ranks: ranks, shapes: shapes, meter: meter, journal: journal, clock: clock}
	l.tomb.Go(l.run)
	return l
}

// Close stops leading and waits until the current round has ended.
func (l *Lead) Close() error {
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}

func (l *Lead) run() error {
	ctx := l.tomb.Context(context.Background())
	for ctx.Err() == nil {
		l.round(ctx)
		l.roundEndedAt = l.clock()
		l.pause(ctx)
	}
	return nil
}

// interval returns the time between two rounds.
func (l *Lead) interval() time.Duration {
	interval := l.phaseInterval()
	if l.leading && l.demand.shifted && l.measures() {
		interval = max(heldInterval, min(interval, l.demand.baselineAt.Add(measureInterval).Sub(l.clock())))
	}
	return interval
}

// phaseInterval returns the time between two rounds in the current phase.
func (l *Lead) phaseInterval() time.Duration {
	switch l.coordinator.Phase {
	case switching.Preparing:
		return prepareInterval
	case switching.Holding, switching.Arming, switching.Releasing, switching.Undoing:
		return heldInterval
	case switching.Idle:
	}
	if l.guarding {
		return guardInterval
	}
	return idleInterval
}

// round observes the ranks, and continues the switch in progress or plans one. Beside
// the holder it guards instead.
func (l *Lead) round(ctx context.Context) {
	shape, known := l.shapes.Shape()
	own, err := l.ranks.ObserveOwn(ctx)
	if l.logReachability(err); err != nil || !known || !own.Status.Open {
		l.leading, l.guarding = false, false
		return
	}
	l.guarding = own.Status.Rank == switching.Holder(own.Status.Size) && own.Status.Rank != switching.Leader
	if own.Status.Rank != switching.Leader {
		l.leading = false
		if l.guarding {
			l.guard(ctx, own, shape)
		}
		return
	}
	l.observedAt = l.clock()
	l.timing = l.timing.WithStep(own.Status.Step, l.observedAt)
	observed := l.observe(ctx, own, shape)
	observed = l.cache.fill(ctx, l.ranks, own, observed, l.leading && l.coordinator.Phase == switching.Idle, l.clock())
	statuses := statusesOf(observed, own.Status.Epoch)
	mayHold := l.coordinator.Phase != switching.Idle && l.coordinator.Phase != switching.Preparing
	if now := l.clock(); l.leading && now.Sub(l.roundEndedAt) > maxRoundGap && mayHold {
		// The guardian may have resolved the held pass, so the coordinator is out of
		// date.
		l.journal.Event("paused while a switch was in progress", "for", now.Sub(l.roundEndedAt), "phase", l.coordinator.Phase)
		l.leading = false
	}
	if !l.leading || l.group != own.Group || l.coordinator.Epoch != own.Status.Epoch {
		if !statuses.Complete(own.Status.Size, own.Status.Epoch) {
			return
		}
		l.startLeading(own, observed, statuses, shape)
	}
	l.giveUpOutdated(observed, shape)
	l.advance(ctx, statuses)
	if l.coordinator.MaySwitch(statuses) && l.demand.enough() && settled(statuses, own.Status.Size, own.Status.Epoch) {
		l.plan(ctx, observed, statuses, shape)
	}
}

// logReachability logs that the own target was lost or regained.
func (l *Lead) logReachability(err error) {
	if lost := err != nil; lost != l.targetLost {
		l.targetLost = lost
		if lost {
			l.journal.Event("own target lost", "error", err.Error())
		} else {
			l.journal.Event("own target regained")
		}
	}
}

// startLeading makes a coordinator for the current epoch of the own group.
func (l *Lead) startLeading(own Observation, observed map[int]Observation, statuses switching.Statuses, shape route.Engine) {
	coordinator := switching.NewCoordinator(own.Status.Epoch, own.Status.Size, currentMap(observed, own.Status.Size, shape), statuses)
	if l.group == own.Group {
		coordinator = coordinator.WithPredecessor(l.coordinator)
	}
	l.leading, l.group, l.armingSince, l.coordinator = true, own.Group, time.Time{}, coordinator
	l.journal.Event("leading", "group", l.group, "epoch", own.Status.Epoch, "ranks", own.Status.Size, "map", own.Status.Map,
		"held", own.Status.Held, "phase", l.coordinator.Phase)
}

// settled reports whether all ranks use the same map, and none is armed or holds a
// pass.
func settled(statuses switching.Statuses, size int, epoch uint64) bool {
	if !statuses.Complete(size, epoch) {
		return false
	}
	for _, s := range statuses {
		if s.Armed != 0 || s.Held != 0 || s.Map != statuses[0].Map {
			return false
		}
	}
	return true
}

// advance sends the orders of the switch in progress for at most maxOrderRounds. It
// returns earlier if none is left to send, the ranks need time to copy, or the holder
// can't be observed.
func (l *Lead) advance(ctx context.Context, statuses switching.Statuses) {
	for range maxOrderRounds {
		before := l.coordinator
		l.coordinator = l.coordinator.WithAhead(l.timing.Ahead(l.clock())).WithStatuses(statuses, l.clock())
		l.recordArming(before)
		l.logPhase(before)
		var orders []switching.Order
		l.coordinator, orders = l.coordinator.Orders(statuses, l.clock())
		if len(orders) == 0 {
			return
		}
		l.sendOrders(ctx, orders)
		if l.coordinator.Phase == switching.Preparing {
			return // the ranks need time to copy
		}
		queried := l.clock()
		holder, err := l.ranks.ObserveRank(ctx, switching.Holder(l.coordinator.Size), false)
		if err != nil || holder.Status.Epoch != l.coordinator.Epoch {
			return
		}
		if !holder.Direct {
			l.coordinator = l.coordinator.WithRenewal(queried)
		}
		statuses[holder.Status.Rank] = holder.status()
	}
}

// recordArming records how long the ranks took to be armed if a switch has just released its
// pass.
func (l *Lead) recordArming(before switching.Coordinator) {
	switch after := l.coordinator; {
	case before.Phase == switching.Preparing && after.Phase == switching.Holding:
		l.armingSince = l.observedAt
	case before.Phase == switching.Arming && after.Phase == switching.Undoing:
		l.armingSince = time.Time{}
	case before.Phase == switching.Releasing && after.Phase == switching.Idle && !l.armingSince.IsZero():
		took := l.clock().Sub(l.armingSince)
		l.timing, l.armingSince = l.timing.WithArming(took, l.clock()), time.Time{}
		l.meter.Observe("arming", took)
	}
}

// statusesOf returns the statuses of the ranks that are in an epoch.
func statusesOf(observed map[int]Observation, epoch uint64) switching.Statuses {
	statuses := switching.Statuses{}
	for rank, o := range observed {
		if o.Status.Epoch == epoch {
			statuses[rank] = o.status()
		}
	}
	return statuses
}

// logPhase logs and counts a change of the coordinator's phase.
func (l *Lead) logPhase(before switching.Coordinator) {
	after := l.coordinator
	if before.Phase == after.Phase {
		return
	}
	l.meter.Inc("switch", string(after.Phase))
	l.journal.Event("switch", "group", l.group, "epoch", after.Epoch, "version", after.Version, "step", after.Step,
		"ahead", after.Ahead, "before", before.Phase, "after", after.Phase)
}

// sendOrders sends orders to their ranks and passes the results to the coordinator.
func (l *Lead) sendOrders(ctx context.Context, orders []switching.Order) {
	results := l.ranks.Orders(ctx, orders)
	for i, o := range orders {
		l.meter.Inc("orders", string(o.Verb))
		if results[i] == switching.Refused || results[i] == switching.Unanswered {
			l.journal.Event("order failed", "verb", o.Verb, "rank", o.Rank, "epoch", o.Epoch, "version", o.Version, "step", o.Step,
				"refused", results[i] == switching.Refused)
		}
		l.coordinator = l.coordinator.WithResult(o, results[i])
	}
}

// plan begins a switch if the demand no longer fits the placement.
func (l *Lead) plan(ctx context.Context, observed map[int]Observation, statuses switching.Statuses, shape route.Engine) {
	size := len(statuses)
	speeds := speedsOf(observed, size)
	before := currentMap(observed, size, shape)
	if len(before) != shape.Layers {
		return
	}
	layers, next := make([]expert.Layer, len(before)), make(switching.Map, len(before))
	for set := range layers {
		layers[set] = expert.FromRanks(before[set], shape.MaxExpertsPerRank, shape.Experts)
	}
	planned := expert.PlanAll(layers, l.demand.demands, speeds, expert.Bounds{Trigger: skewTrigger, Target: skewTarget, MaxNewPerRank: shape.MaxNewExperts})
	l.meter.Gauge("skew", planned.Skew)
	if planned.Moved == 0 {
		return
	}
	for set, layer := range planned.Layers {
		next[set] = layer.ExpertsByRank(shape.Experts)
	}
	l.journal.Event("plan", "group", l.group, "skew", planned.Skew, "copies", planned.Moved, "fullest", planned.MaxNew, "map", statuses[0].Map, "step", statuses[0].Step)
	l.coordinator = l.coordinator.WithSwitch(before, next, rand.Uint64N(1<<versionOffsetBits), statuses)
	l.planned.skew = l.worstSkew(next, speeds, shape)
	l.advance(ctx, statuses)
}

// speedsOf returns the speeds of the ranks.
func speedsOf(observed map[int]Observation, size int) []float64 {
	speeds := make([]float64, size)
	for rank := range speeds {
		speeds[rank] = 1 / max(1, observed[rank].Pace)
	}
	return speeds
}

// currentMap returns the map that the ranks report, or nil if a rank reports no
// lists.
func currentMap(observed map[int]Observation, size int, shape route.Engine) switching.Map {
	result := make(switching.Map, shape.Layers)
	for set := range result {
		result[set] = make([][]int, size)
		for rank := range size {
			lists := observed[rank].Lists
			if len(lists) != shape.Layers {
				return nil
			}
			result[set][rank] = lists[set]
		}
	}
	return result
}
