package lead

import (
	"context"
	"time"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/core/route"
	"hornbeamtray/core/switching"
)

const guardTries = 40 // rounds of orders to resolve one held pass

// heldPass is since when the own rank holds a pass.
type heldPass struct {
	epoch, step uint64
	since       time.Time
}

// guard resolves a pass that the own rank holds while the leader's machine is
// paused, killed or cut off: otherwise the group would stand still until that
// one is back.
func (l *Lead) guard(ctx context.Context, own Observation, shape route.Engine) {
	now, s := l.clock(), own.Status
	if s.Held == 0 || s.Held != l.held.step || s.Epoch != l.held.epoch {
		l.held = heldPass{epoch: s.Epoch, step: s.Held, since: now}
		return
	}
	if asked := l.ranks.Asked(); asked.After(l.held.since) {
		l.held.since = asked
	}
	if now.Sub(l.held.since) < switching.GuardianDelay {
		return
	}
	observed := l.ranks.All(ctx, own.Group, own, false)
	if leader, answers := observed[switching.Leader]; answers && !leader.Direct && leader.Status.Epoch == s.Epoch {
		l.journal.Event("pass held for long", "group", own.Group, "epoch", s.Epoch, "step", s.Held, "leader", "answers")
		return
	}
	statuses := statusesOf(observed, s.Epoch)
	statuses[switching.Leader] = switching.Status{Epoch: s.Epoch}
	if !statuses.Complete(s.Size, s.Epoch) {
		return
	}
	delete(statuses, switching.Leader)
	l.resolve(ctx, own, observed, statuses, shape)
}

func (l *Lead) resolve(ctx context.Context, own Observation, observed map[int]Observation, statuses switching.Statuses, shape route.Engine) {
	s := own.Status
	l.coordinator = switching.NewGuardian(s.Epoch, s.Size, reachable(observed, s.Size, shape), statuses)
	l.journal.Event("resolving a held pass", "group", own.Group, "epoch", s.Epoch, "step", s.Held, "phase", l.coordinator.Phase)
	for range guardTries {
		l.carry(ctx, statuses)
		if l.coordinator.Phase == switching.Idle || ctx.Err() != nil {
			break
		}
		clock.Pause(ctx, retryPace)
		observed = l.ranks.All(ctx, own.Group, own, false)
		if leader, answers := observed[switching.Leader]; answers && !leader.Direct {
			break // its steward checks anew, and goes on from there
		}
		statuses = statusesOf(observed, s.Epoch)
		delete(statuses, switching.Leader)
	}
	l.journal.Event("held pass resolved", "group", own.Group, "epoch", s.Epoch, "phase", l.coordinator.Phase)
	l.coordinator = switching.Coordinator{Phase: switching.Idle}
}

// reachable returns a map that is new to no rank but the leader's: that one,
// whose lists can't be read, holds what no other rank does.
func reachable(observed map[int]Observation, size int, shape route.Engine) switching.Map {
	held := make(switching.Map, shape.Layers)
	for set := range held {
		held[set] = make([][]int, size)
		missing := make([]bool, shape.Experts)
		for e := range missing {
			missing[e] = true
		}
		for rank := range size {
			if lists := observed[rank].Lists; rank != switching.Leader && set < len(lists) {
				held[set][rank] = lists[set]
			}
			for _, e := range held[set][rank] {
				missing[e] = false
			}
		}
		for e, lacking := range missing {
			if lacking {
				held[set][switching.Leader] = append(held[set][switching.Leader], e)
			}
		}
	}
	return held
}
