// Package lead keeps the ranks of a group evenly loaded: the steward beside
// rank 0 measures which experts are in demand, plans a placement and leads the
// group over to it.
//
// core/expert plans and core/switching decides every step; this package carries
// them out.
package lead

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/core/expert"
	"hornbeamtray/core/route"
	"hornbeamtray/core/switching"
)

const (
	idlePace   = 250 * time.Millisecond // between measurements; demand shifts within seconds
	activePace = 60 * time.Millisecond  // between rounds while ranks copy; a copy takes tens of milliseconds an expert
	retryPace  = 15 * time.Millisecond  // between rounds while a pass is held
	guardPace  = 150 * time.Millisecond // between looks of the steward beside the holder
	paused     = switching.Window       // a steward that did nothing for so long checks anew before it orders
	fastRounds = 6                      // rounds of orders without observing all ranks in between
	drawBits   = 12                     // of the random part of a version

	trigger = 1.75 // skew of a set, over the least possible, from which it is placed anew
	target  = 1.35 // skew that a new placement aims at
)

// Lead leads the own group while the own rank is the first.
type Lead struct {
	tomb    tomb.Tomb
	ranks   Ranks
	shapes  Shapes
	meter   Meter
	journal Journal
	clock   func() time.Time

	// All below is owned by run.
	demand      demand
	group       string
	sights      sights
	coordinator switching.Coordinator
	leading     bool
	lost        bool
	rounded     time.Time // when the last round ended
	held        heldPass
	guarding    bool
}

// New starts leading. Close ends it. The clock goes on while the machine is
// suspended.
func New(ranks Ranks, shapes Shapes, meter Meter, journal Journal, clock func() time.Time) *Lead {
	l := &Lead{ranks: ranks, shapes: shapes, meter: meter, journal: journal, clock: clock}
	l.tomb.Go(l.run)
	return l
}

// Close stops leading and waits.
func (l *Lead) Close() error {
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}

func (l *Lead) run() error {
	ctx := l.tomb.Context(context.Background())
	for ctx.Err() == nil {
		l.round(ctx)
		l.rounded = l.clock()
		clock.Pause(ctx, l.pace())
	}
	return nil
}

func (l *Lead) pace() time.Duration {
	switch l.coordinator.Phase {
	case switching.Preparing:
		return activePace
	case switching.Holding, switching.Arming, switching.Releasing, switching.Undoing:
		return retryPace
	case switching.Idle:
	}
	if l.guarding {
		return guardPace
	}
	return idlePace
}

// round observes the ranks and carries the switch in progress on, or plans one.
func (l *Lead) round(ctx context.Context) {
	shape, known := l.shapes.Shape()
	own, err := l.ranks.Own(ctx)
	if l.reached(err); err != nil || !known || !own.Status.Open {
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
	observed := l.ranks.All(ctx, own.Group, own, l.coordinator.Phase == switching.Idle && l.demand.due(l.clock()))
	l.demand.take(observed, shape, l.clock())
	observed = l.sights.fill(ctx, l.ranks, own, observed, l.leading && l.coordinator.Phase == switching.Idle, l.clock())
	statuses := statusesOf(observed, own.Status.Epoch)
	if now := l.clock(); l.leading && now.Sub(l.rounded) > paused && l.coordinator.Phase != switching.Idle {
		// Another steward may have resolved the pass that was held, so what this
		// one believed no longer counts.
		l.journal.Event("paused while a switch was in progress", "for", now.Sub(l.rounded), "phase", l.coordinator.Phase)
		l.leading = false
	}
	if !l.leading || l.group != own.Group || l.coordinator.Epoch != own.Status.Epoch {
		if !statuses.Complete(own.Status.Size, own.Status.Epoch) {
			return
		}
		l.begin(own, observed, statuses, shape)
	}
	l.carry(ctx, statuses)
	if l.coordinator.Phase == switching.Idle && l.demand.enough() && settled(statuses, own.Status.Size, own.Status.Epoch) {
		l.plan(ctx, observed, statuses, shape)
	}
}

func (l *Lead) reached(err error) {
	if lost := err != nil; lost != l.lost {
		l.lost = lost
		if lost {
			l.journal.Event("own target lost", "error", err.Error())
		} else {
			l.journal.Event("own target regained")
		}
	}
}

// begin takes the lead of a group in its present epoch.
func (l *Lead) begin(own Observation, observed map[int]Observation, statuses switching.Statuses, shape route.Engine) {
	l.leading, l.group = true, own.Group
	l.coordinator = switching.NewCoordinator(own.Status.Epoch, own.Status.Size, current(observed, own.Status.Size, shape), statuses)
	l.journal.Event("leading", "group", l.group, "epoch", own.Status.Epoch, "ranks", own.Status.Size, "map", own.Status.Map,
		"held", own.Status.Held, "phase", l.coordinator.Phase)
}

// settled reports whether all ranks are on one map and none is armed for another.
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

// carry goes on with the switch in progress, as far as it goes without waiting.
func (l *Lead) carry(ctx context.Context, statuses switching.Statuses) {
	for range fastRounds {
		before := l.coordinator
		l.coordinator = l.coordinator.With(statuses, l.clock())
		l.note(before)
		var orders []switching.Order
		l.coordinator, orders = l.coordinator.Orders(statuses, l.clock())
		if len(orders) == 0 {
			return
		}
		l.order(ctx, orders)
		if l.coordinator.Phase == switching.Preparing {
			return // the copies take a while
		}
		asked := l.clock()
		holder, err := l.ranks.One(ctx, switching.Holder(l.coordinator.Size), false)
		if err != nil || holder.Status.Epoch != l.coordinator.Epoch {
			return
		}
		if !holder.Direct {
			l.coordinator = l.coordinator.WithRenewal(asked)
		}
		statuses[holder.Status.Rank] = holder.Status
	}
}

// statusesOf returns the statuses of the ranks that are in an epoch.
func statusesOf(observed map[int]Observation, epoch uint64) switching.Statuses {
	statuses := switching.Statuses{}
	for rank, o := range observed {
		if o.Status.Epoch == epoch {
			statuses[rank] = o.Status
		}
	}
	return statuses
}

// note logs a change of the phase.
func (l *Lead) note(before switching.Coordinator) {
	after := l.coordinator
	if before.Phase == after.Phase {
		return
	}
	l.meter.Inc("switch", string(after.Phase))
	l.journal.Event("switch", "group", l.group, "epoch", after.Epoch, "version", after.Version, "step", after.Step,
		"before", before.Phase, "after", after.Phase)
}

// order sends orders to ranks at the same time and takes their results.
func (l *Lead) order(ctx context.Context, orders []switching.Order) {
	results := make([]switching.Result, len(orders))
	var sending sync.WaitGroup
	for i, o := range orders {
		sending.Go(sent{ranks: l.ranks, ctx: ctx, order: o, result: &results[i]}.run)
	}
	sending.Wait()
	for i, o := range orders {
		l.meter.Inc("orders", string(o.Verb))
		if results[i] == switching.Refused || results[i] == switching.Unanswered {
			l.journal.Event("order failed", "verb", o.Verb, "rank", o.Rank, "epoch", o.Epoch, "version", o.Version, "step", o.Step,
				"refused", results[i] == switching.Refused)
		}
		l.coordinator = l.coordinator.WithResult(o, results[i])
	}
}

// sent is one order on its way.
type sent struct {
	ranks  Ranks
	ctx    context.Context
	order  switching.Order
	result *switching.Result
}

func (s sent) run() {
	*s.result = s.ranks.Order(s.ctx, s.order)
}

// plan begins a switch where the demand has moved away from the placement.
func (l *Lead) plan(ctx context.Context, observed map[int]Observation, statuses switching.Statuses, shape route.Engine) {
	size := len(statuses)
	speeds := make([]float64, size)
	for rank := range speeds {
		speeds[rank] = 1 / max(1, observed[rank].Pace)
	}
	before := current(observed, size, shape)
	if len(before) != shape.Layers {
		return
	}
	next, worst, moved := slices.Clone(before), 0.0, 0
	for set, d := range l.demand.sets {
		layer := expert.FromRanks(before[set], shape.MaxExpertsPerRank, shape.Experts)
		after, skew := expert.Plan(layer, d, speeds, expert.Bounds{Trigger: trigger, Target: target, Spare: shape.MaxNewExperts})
		worst = max(worst, skew)
		next[set] = after.Lists(shape.Experts)
		moved += after.Moved(layer)
	}
	l.meter.Gauge("skew", worst)
	if moved == 0 {
		return
	}
	l.journal.Event("plan", "group", l.group, "skew", worst, "moved", moved, "map", statuses[0].Map, "step", statuses[0].Step)
	l.coordinator = l.coordinator.WithSwitch(before, next, rand.Uint64N(1<<drawBits), statuses)
	l.carry(ctx, statuses)
}

// current returns the map that the ranks say they hold, empty where some don't.
func current(observed map[int]Observation, size int, shape route.Engine) switching.Map {
	held := make(switching.Map, shape.Layers)
	for set := range held {
		held[set] = make([][]int, size)
		for rank := range size {
			lists := observed[rank].Lists
			if len(lists) != shape.Layers {
				return nil
			}
			held[set][rank] = lists[set]
		}
	}
	return held
}
