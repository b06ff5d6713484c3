package follow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
	"hornbeamtray/gateway/follow"
)

// laggingStore is a store of which a replica that lags behind answers from some time on.
type laggingStore struct {
	clockedStore
	lags      atomic.Bool
	compacted bool // a watch from a revision that the replica doesn't have yet fails like one from a dropped one
}

const laggingRevision = 1

func (s *laggingStore) List(ctx context.Context) (follow.Batch, error) {
	batch, err := s.clockedStore.List(ctx)
	if s.lags.Load() {
		batch.Items, batch.Revision = nil, laggingRevision
	}
	return inFirstEra(batch), err
}

func (s *laggingStore) Watch(ctx context.Context, after uint64, wait time.Duration) (follow.Batch, error) {
	batch, err := s.clockedStore.Watch(ctx, roster.Number(after), wait)
	if s.lags.Load() {
		if s.compacted {
			return follow.Batch{}, follow.ErrCompacted
		}
		batch.Items, batch.Revision = nil, laggingRevision
	}
	return inFirstEra(batch), err
}

// inFirstEra returns the batch as read in the first era that a store names.
func inFirstEra(batch follow.Batch) follow.Batch {
	batch.Revision = roster.Revision(1, batch.Revision)
	for i := range batch.Items {
		batch.Items[i].Revision = roster.Revision(1, batch.Items[i].Revision)
	}
	return batch
}

// TestLaggingReplica guards against answers of a replica that lags behind: they lack changes
// that were acknowledged before, so they must not prove that the state is up to date.
func TestLaggingReplica(t *testing.T) {
	tests := []struct {
		name      string
		compacted bool
	}{
		{"answers watches", false},
		{"answers listings", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := &jumpingClock{}
				s := &laggingStore{clockedStore: clockedStore{newStore(), clock}, compacted: tt.compacted}
				s.put("a", false)
				s.put("b", false)
				c := &control{state: dispatch.New("g", "d", dispatch.Bounds{MaxStaleness: 4400 * time.Millisecond})}
				f := follow.New(s, peers{}, follow.NewInbox(follow.NewMirror(), c, decode, clock.now), discardJournal{}, 4400*time.Millisecond)
				defer f.Close()
				time.Sleep(5 * time.Second)
				if !c.get().Fresh(clock.now()) {
					t.Fatal("the state is stale although the store responds")
				}
				s.lags.Store(true)
				time.Sleep(6 * time.Second)
				if c.get().Fresh(clock.now()) {
					t.Error("the state counts as up to date by the answers of a replica that lags behind")
				}
				if got := servingCount(c); got != 2 {
					t.Errorf("%d targets are serving, want 2: what the replica lacks holds", got)
				}
				s.lags.Store(false)
				time.Sleep(time.Second)
				if !c.get().Fresh(clock.now()) {
					t.Error("the state is stale although the replica has caught up")
				}
			})
		})
	}
}
