package lead

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/switching"
)

// busyRanks is a view of a group whose stewards have little processor time, so that each call
// takes a while.
type busyRanks struct {
	view
	orderTime, observeTime time.Duration
}

func (r busyRanks) Orders(ctx context.Context, orders []switching.Order) []switching.Result {
	time.Sleep(r.orderTime)
	return r.view.Orders(ctx, orders)
}

func (r busyRanks) ObserveRank(ctx context.Context, rank int, lists bool) (Observation, error) {
	time.Sleep(r.observeTime)
	return r.view.ObserveRank(ctx, rank, lists)
}

func (r busyRanks) ObserveAll(ctx context.Context, group string, own Observation, counts bool) map[int]Observation {
	all := r.view.ObserveAll(ctx, group, own, counts)
	time.Sleep(r.observeTime)
	return all
}

// moveDemand makes another expert hot every two seconds.
func (g *fakeGroup) moveDemand(tokens []uint64) {
	for hot := 0; ; hot++ {
		g.mu.Lock()
		for e := range tokens {
			tokens[e] = 5
		}
		tokens[hot%len(tokens)] = 80
		g.mu.Unlock()
		select {
		case <-g.stopped:
			return
		case <-time.After(2 * time.Second):
		}
	}
}

// TestHeldPasses guards against holding a pass that is due long before all ranks are armed,
// which all streams of the group see as a gap, and against holding one so far ahead that the
// old map stays in use for longer than needed. Passes take 50 ms.
func TestHeldPasses(t *testing.T) {
	const passTime = 50 * time.Millisecond
	tests := []struct {
		name                   string
		orderTime, observeTime time.Duration
	}{
		{"quick calls", 2 * time.Millisecond, time.Millisecond},
		{"calls that take a tenth of a pass", 5 * time.Millisecond, 2 * time.Millisecond},
		{"calls that take a third of a pass", 15 * time.Millisecond, 5 * time.Millisecond},
		{"calls that take half a pass", 25 * time.Millisecond, 5 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, tokens := newGroup(make([]uint64, 4)), make([]uint64, 4)
				go g.moveDemand(tokens)
				go g.run(tokens)
				l := New(busyRanks{view{g, 0}, tt.orderTime, tt.observeTime}, fixedShape{}, discard{}, discard{}, time.Now)
				time.Sleep(20 * time.Second)
				_ = l.Close()
				close(g.stopped)
				switches, mixed := g.result()
				if switches < 4 || mixed {
					t.Errorf("%d switches, pass on two maps: %t; want at least 4 and no pass on two maps", switches, mixed)
				}
				if delay := mean(g.delays, switches); delay > passTime/4 {
					t.Errorf("held passes began late by %v on average, want at most a quarter of a pass; %v", delay, g.delays)
				}
				if wait := mean(g.waits, switches); wait > passTime {
					t.Errorf("the new map was in use %v after the release on average, want at most one pass; %v", wait, g.waits)
				}
			})
		})
	}
}

func mean(durations []time.Duration, n int) time.Duration {
	var total time.Duration
	for _, d := range durations {
		total += d
	}
	return total / time.Duration(max(1, n))
}

// TestObservedStatusLags guards against taking the status of a rank that was queried directly, which
// is some hundred milliseconds old, for a present one.
func TestObservedStatusLags(t *testing.T) {
	for _, direct := range []bool{false, true} {
		observed := map[int]Observation{1: {Status: switching.Status{Rank: 1, Epoch: 1}, Direct: direct}}
		if got := statusesOf(observed, 1)[1].Lagging; got != direct {
			t.Errorf("queried directly: %t, status lags: %t", direct, got)
		}
	}
}
