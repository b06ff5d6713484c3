package serve

import (
	"context"
	"time"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/adapter/control"
	"hornbeamtray/core/dispatch"
)

// Permits grants permits for requests to targets that name a limit on the requests of all
// gateways together.
type Permits interface {
	// Ask asks for a permit for one request. It never blocks for long.
	Ask(ctx context.Context, ask dispatch.Ask) dispatch.Grant
}

// ownPermits implements Permits for a gateway that is alone.
type ownPermits struct {
	service *Service
}

func (p ownPermits) Ask(ctx context.Context, ask dispatch.Ask) dispatch.Grant {
	grant, _ := control.Ask(ctx, p.service.owner, func(state dispatch.State, now time.Time) (dispatch.State, dispatch.Grant) {
		return state.Grant(ask, 1, now)
	})
	return grant // not granted if the request or the service ended
}

// takePermit asks for a permit and waits until the request may be sent. It returns the
// target for which it got one, or "". A request that got one no longer waits in the queue.
func (s *Service) takePermit(ctx context.Context, a dispatch.Admission, ask dispatch.Ask) string {
	grant := s.permits.Ask(ctx, ask)
	if !grant.Granted && ctx.Err() != nil {
		return "" // the request ended, which says nothing of the target
	}
	s.Change(func(state dispatch.State, now time.Time) dispatch.State {
		if grant.Granted {
			s.capacityFreed.Raise()
			state = state.WithPlaceTaken(a)
		}
		next := grant.Next
		if again := now.Add(2 * ask.Wait); !grant.Granted && next.Before(again) {
			next = again // the keeper must not be asked without end
		}
		return state.WithNextPermit(ask.Target, next, now)
	})
	if !grant.Granted {
		s.meter.Inc("permits", "denied")
		return ""
	}
	s.meter.Inc("permits", "granted")
	if wait := grant.Start.Sub(s.clock()); wait > 0 {
		s.meter.Observe("permit_wait", wait)
		clock.Pause(ctx, wait)
	}
	return ask.Target
}
