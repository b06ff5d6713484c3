package follow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/gateway/follow"
)

// jumpingClock is the clock of a gateway whose process is paused: it jumps ahead by the
// length of the pause.
type jumpingClock struct {
	paused atomic.Int64
}

func (c *jumpingClock) now() time.Time { return time.Now().Add(time.Duration(c.paused.Load())) }

func (c *jumpingClock) pause(d time.Duration) { c.paused.Add(int64(d)) }

// clockedStore is a store whose reads are dated by a clock.
type clockedStore struct {
	*store
	clock *jumpingClock
}

func (s clockedStore) List(ctx context.Context) (follow.Batch, error) {
	at := s.clock.now()
	batch, err := s.store.List(ctx)
	batch.ReadAt = at
	return batch, err
}

func (s clockedStore) Watch(ctx context.Context, after uint64, wait time.Duration) (follow.Batch, error) {
	at := s.clock.now()
	batch, err := s.store.Watch(ctx, after, wait)
	batch.ReadAt = at
	return batch, err
}

// TestFreshSoonAfterPause guards against a gateway that refuses all keys for up to 1.5 s
// after it was paused, while it waits for changes or until its next read.
func TestFreshSoonAfterPause(t *testing.T) {
	const limit = 20 * time.Millisecond // reads of the fake store take no time
	tests := []struct {
		name string
		wake func(*store) // what the read that was under way returns
	}{
		{"a watch without changes was under way", func(s *store) { s.endWatches() }},
		{"a watch that returns changes was under way", func(s *store) { s.put("b", false) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock, s := &jumpingClock{}, newStore()
				s.put("a", false)
				c := &control{state: dispatch.New("g", "d", dispatch.Bounds{MaxStaleness: 4400 * time.Millisecond})}
				inbox := follow.NewInbox(follow.NewMirror(), c, decode, clock.now)
				f := follow.New(clockedStore{s, clock}, peers{}, inbox, discardJournal{}, 4400*time.Millisecond)
				defer f.Close()
				time.Sleep(5 * time.Second)
				if !c.get().Fresh(clock.now()) {
					t.Fatal("the state is stale before the pause")
				}
				clock.pause(5 * time.Second)
				tt.wake(s)
				time.Sleep(limit)
				if !c.get().Fresh(clock.now()) {
					t.Errorf("the state is stale %s after the pause although the store responds", limit)
				}
			})
		})
	}
}
