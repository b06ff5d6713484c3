package lead

import (
	"context"
	"time"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/core/route"
	"hornbeamtray/core/switching"
)

const maxGuardRounds = 40 // rounds of orders after which the guardian stops resolving a held pass

// heldPass is the pass that the own rank holds; its step is 0 for none.
type heldPass struct {
	epoch, step uint64
	delayStart  time.Time // start of GuardianDelay: when the pass was first observed, or when another steward last observed the own rank, if that is later
}

// guard resolves a pass that the own rank holds if the leader's instance is frozen,
// stopped or unreachable. If it did not, the group would begin no pass until that
// instance is back.
func (l *Lead) guard(ctx context.Context, own Observation, shape route.Engine) {
	now, s := l.clock(), own.Status
	if s.Held == 0 || s.Held != l.held.step || s.Epoch != l.held.epoch {
		l.held = heldPass{epoch: s.Epoch, step: s.Held, delayStart: now}
		return
	}
	if queried := l.ranks.QueriedAt(); queried.After(l.held.delayStart) {
		l.held.delayStart = queried
	}
	if now.Sub(l.held.delayStart) < switching.GuardianDelay {
		return
	}
	observed := l.ranks.ObserveAll(ctx, own.Group, own, false)
	if leader, found := observed[switching.Leader]; found && !leader.Direct && leader.Status.Epoch == s.Epoch {
		l.journal.Event("pass held for long", "group", own.Group, "epoch", s.Epoch, "step", s.Held, "leader", "answers")
		return
	}
	statuses := statusesOf(observed, s.Epoch)
	// The leader's status is missing. An empty one takes its place while Complete
	// checks that those of all other ranks are there.
	statuses[switching.Leader] = switching.Status{Epoch: s.Epoch}
	if !statuses.Complete(s.Size, s.Epoch) {
		return
	}
	delete(statuses, switching.Leader)
	l.resolve(ctx, own, observed, statuses, shape)
}

// resolve sends orders until the held pass is resolved or only the leader can resolve
// it, the leader's steward answers again, or maxGuardRounds are over.
func (l *Lead) resolve(ctx context.Context, own Observation, observed map[int]Observation, statuses switching.Statuses, shape route.Engine) {
	s := own.Status
	l.coordinator = switching.NewGuardian(s.Epoch, s.Size, mapWithoutLeader(observed, s.Size, shape), statuses)
	l.journal.Event("resolving a held pass", "group", own.Group, "epoch", s.Epoch, "step", s.Held, "phase", l.coordinator.Phase)
	for range maxGuardRounds {
		l.advance(ctx, statuses)
		if l.coordinator.Phase == switching.Idle || ctx.Err() != nil {
			break
		}
		clock.Pause(ctx, heldInterval)
		observed = l.ranks.ObserveAll(ctx, own.Group, own, false)
		if leader, found := observed[switching.Leader]; found && !leader.Direct {
			break // the leader resolves the held pass itself
		}
		statuses = statusesOf(observed, s.Epoch)
		delete(statuses, switching.Leader)
	}
	l.journal.Event("held pass resolved", "group", own.Group, "epoch", s.Epoch, "phase", l.coordinator.Phase)
	l.coordinator = switching.Coordinator{Phase: switching.Idle}
}

// mapWithoutLeader returns a map in which all ranks but the leader's keep the experts
// that they hold. The leader's lists can't be read, so its rank gets the experts that
// no other rank holds.
func mapWithoutLeader(observed map[int]Observation, size int, shape route.Engine) switching.Map {
	result := make(switching.Map, shape.Layers)
	for set := range result {
		result[set] = make([][]int, size)
		missing := make([]bool, shape.Experts)
		for e := range missing {
			missing[e] = true
		}
		for rank := range size {
			if lists := observed[rank].Lists; rank != switching.Leader && set < len(lists) {
				result[set][rank] = lists[set]
			}
			for _, e := range result[set][rank] {
				missing[e] = false
			}
		}
		for e, isMissing := range missing {
			if isMissing {
				result[set][switching.Leader] = append(result[set][switching.Leader], e)
			}
		}
	}
	return result
}
