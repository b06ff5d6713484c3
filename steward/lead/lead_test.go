package lead

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/route"
	"hornbeamtray/core/switching"
)

type fixedShape struct{}

func (fixedShape) Shape() (route.Engine, bool) { return shape, true }

type discard struct{}

func (discard) Inc(string, string)            {}
func (discard) Gauge(string, float64)         {}
func (discard) Observe(string, time.Duration) {}
func (discard) Event(string, ...any)          {}

func TestSkewedDemand(t *testing.T) {
	tests := []struct {
		name       string
		tokens     []uint64
		silentRank int // rank whose steward does not answer, 0 for none
		switches   bool
	}{
		{"even", []uint64{5, 10, 10, 5}, 0, false},
		{"one hot expert", []uint64{60, 5, 5, 60}, 0, true},
		{"even, a rank without a steward", []uint64{5, 10, 10, 5}, 2, false},
		{"one hot expert, a rank without a steward", []uint64{60, 5, 5, 60}, 2, true},
		{"one hot expert, the holder without a steward", []uint64{60, 5, 5, 60}, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(make([]uint64, 4))
				g.silentRank = tt.silentRank
				go g.run(tt.tokens)
				l := New(view{g, 0}, fixedShape{}, discard{}, discard{}, time.Now)
				time.Sleep(5 * time.Second)
				_ = l.Close()
				close(g.stopped)
				if switches, mixed := g.result(); mixed || (switches > 0) != tt.switches {
					t.Errorf("%d switches, pass on two maps: %t; want any switch: %t, and no pass on two maps", switches, mixed, tt.switches)
				}
				if !tt.switches && g.directQueries > 7 {
					t.Errorf("%d direct queries of a rank in 5 s without a switch, want one per second and at most 7", g.directQueries)
				}
			})
		})
	}
}

// TestGuardian freezes the leader's instance while a pass is held. The guardian must
// release the pass within 1.5 s, and after the pause the leader must not cause a
// pass on two maps.
func TestGuardian(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(make([]uint64, 4))
		g.onHold = func() { g.leaderFrozen, g.onHold = true, nil }
		freezingView := &freezingRanks{view: view{g, 0}}
		go g.run([]uint64{60, 5, 5, 60})
		leader := New(freezingView, fixedShape{}, discard{}, discard{}, time.Now)
		guardian := New(view{g, 1}, fixedShape{}, discard{}, discard{}, time.Now)
		for {
			time.Sleep(10 * time.Millisecond)
			g.mu.Lock()
			frozen := g.leaderFrozen
			g.mu.Unlock()
			if frozen {
				break
			}
		}
		g.mu.Lock()
		held := g.ranks[1].status.Held
		g.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		g.mu.Lock()
		if g.ranks[1].status.Held != 0 || g.step <= held {
			t.Errorf("1.5 s after the leader froze, the last pass is %d; want a later one than the held pass, which must be released", g.step)
		}
		g.leaderFrozen = false
		g.mu.Unlock()
		time.Sleep(5 * time.Second)
		_, _ = leader.Close(), guardian.Close()
		close(g.stopped)
		if switches, mixed := g.result(); mixed || switches == 0 {
			t.Errorf("%d switches, pass on two maps: %t; want at least one switch after the pause, and no pass on two maps", switches, mixed)
		}
	})
}

// freezingRanks is the leader's view, which blocks while the leader's instance is
// frozen.
type freezingRanks struct{ view }

func (r *freezingRanks) waitUntilThawed() {
	for {
		r.group.mu.Lock()
		frozen := r.group.leaderFrozen
		r.group.mu.Unlock()
		if !frozen {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *freezingRanks) ObserveOwn(ctx context.Context) (Observation, error) {
	r.waitUntilThawed()
	return r.view.ObserveOwn(ctx)
}

func (r *freezingRanks) ObserveRank(ctx context.Context, rank int, lists bool) (Observation, error) {
	r.waitUntilThawed()
	return r.view.ObserveRank(ctx, rank, lists)
}

func (r *freezingRanks) Orders(ctx context.Context, orders []switching.Order) []switching.Result {
	results := r.view.Orders(ctx, orders)
	r.waitUntilThawed()
	return results
}

func TestMapWithoutLeader(t *testing.T) {
	observed := map[int]Observation{1: {Lists: [][]int{{0, 1}}}, 2: {Lists: [][]int{{2}}}}
	got := mapWithoutLeader(observed, 3, shape)
	if !slices.Equal(got[0][0], []int{3}) || !slices.Equal(got[0][1], []int{0, 1}) || !slices.Equal(got[0][2], []int{2}) {
		t.Errorf("map = %v, want the experts that no other rank holds at rank 0", got)
	}
}

// slowRanks is a view of a group whose links are full while its ranks are sent a map, so
// that their stewards answer late.
type slowRanks struct {
	view
	preparing bool // used by the leader alone
}

func (r *slowRanks) Orders(ctx context.Context, orders []switching.Order) []switching.Result {
	r.preparing = orders[0].Verb == switching.Prepare
	return r.view.Orders(ctx, orders)
}

func (r *slowRanks) ObserveAll(ctx context.Context, group string, own Observation, counts bool) map[int]Observation {
	if r.preparing {
		time.Sleep(3 * switching.ArmWindow / 2)
	}
	return r.view.ObserveAll(ctx, group, own, counts)
}

// TestSlowObservationWhilePreparing guards against giving up each switch whose ranks
// are observed slowly while they prepare: no pass is held then, so that the guardian
// can't have acted.
func TestSlowObservationWhilePreparing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(make([]uint64, 4))
		go g.run([]uint64{60, 5, 5, 60})
		l := New(&slowRanks{view: view{g, 0}}, fixedShape{}, discard{}, discard{}, time.Now)
		time.Sleep(5 * time.Second)
		_ = l.Close()
		close(g.stopped)
		if switches, mixed := g.result(); switches == 0 || mixed {
			t.Errorf("%d switches, pass on two maps: %t; want some switches and no pass on two maps", switches, mixed)
		}
	})
}
