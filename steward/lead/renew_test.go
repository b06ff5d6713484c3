package lead

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/switching"
)

// copyingRanks is a view of a group whose ranks need a time to copy experts.
type copyingRanks struct {
	view
	copyTime time.Duration
	versions []uint64 // of the Prepare orders; used by the leader alone
	onFirst  func()   // called at the first Prepare order
}

func (r *copyingRanks) Orders(ctx context.Context, orders []switching.Order) []switching.Result {
	if orders[0].Verb != switching.Prepare {
		return r.view.Orders(ctx, orders)
	}
	if len(r.versions) == 0 {
		r.onFirst()
	}
	if version := orders[0].Version; !slices.Contains(r.versions, version) {
		r.versions = append(r.versions, version)
	}
	results := make([]switching.Result, len(orders))
	for i, o := range orders {
		results[i] = switching.InProgress
		time.AfterFunc(r.copyTime, func() {
			if r.group.preparedVersion(o.Rank) < o.Version {
				r.group.order(o)
			}
		})
	}
	return results
}

func (g *fakeGroup) preparedVersion(rank int) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranks[rank].status.Prepared
}

// holders returns how many ranks hold an expert.
func (g *fakeGroup) holders(expert int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.ranks {
		if slices.Contains(r.lists[0], expert) {
			n++
		}
	}
	return n
}

// TestDemandThatShiftsWhileRanksCopy guards against a group that switches to a map for demand
// that has gone, and needs another switch after it, while all its requests are slow. Demand that
// hardly changes must not have a switch given up.
func TestDemandThatShiftsWhileRanksCopy(t *testing.T) {
	tests := []struct {
		name     string
		shifted  []uint64 // tokens from the first Prepare order on
		hot      int      // expert that is hot from then on
		holders  int      // ranks that hold it after the first switch, at least
		versions int      // that ranks are ordered to prepare until then
	}{
		{"another expert gets hot", []uint64{2, 120, 2, 2}, 1, 2, 2},
		{"the same experts are hot", []uint64{55, 8, 6, 61}, 3, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, tokens := newGroup(make([]uint64, 4)), []uint64{60, 5, 5, 60}
				ranks := &copyingRanks{view: view{g, 0}, copyTime: 1500 * time.Millisecond}
				ranks.onFirst = func() {
					g.mu.Lock()
					defer g.mu.Unlock()
					copy(tokens, tt.shifted)
				}
				go g.run(tokens)
				l := New(ranks, fixedShape{}, discard{}, discard{}, time.Now)
				for switches := 0; switches == 0; switches, _ = g.result() {
					time.Sleep(10 * time.Millisecond)
				}
				holders := g.holders(tt.hot)
				_ = l.Close()
				close(g.stopped)
				time.Sleep(ranks.copyTime)
				if _, mixed := g.result(); mixed || holders < tt.holders || len(ranks.versions) != tt.versions {
					t.Errorf("after the first switch %d ranks hold expert %d, %d versions were prepared, pass on two maps: %t; want %d or more, %d and no such pass",
						holders, tt.hot, len(ranks.versions), mixed, tt.holders, tt.versions)
				}
			})
		})
	}
}
