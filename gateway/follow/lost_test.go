package follow_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/route"
	"hornbeamtray/gateway/follow"
)

// copiedStore is a store that can come back from an older copy.
type copiedStore struct {
	clock *jumpingClock

	mu    sync.Mutex
	batch follow.Batch // everything that exists; guarded by mu
}

// restore replaces the content of the store by one configuration in an era.
func (s *copiedStore) restore(era, number, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := roster.Revision(era, number)
	s.batch = follow.Batch{Complete: true, Revision: revision, Items: []follow.Item{{Key: "config", Version: version, Revision: revision}}}
}

// List implements follow.Store.
func (s *copiedStore) List(context.Context) (follow.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.batch
	batch.ReadAt = s.clock.now()
	return batch, nil
}

// Watch implements follow.Store.
func (s *copiedStore) Watch(ctx context.Context, after uint64, wait time.Duration) (follow.Batch, error) {
	at := s.clock.now()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return follow.Batch{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if roster.Era(after) != roster.Era(s.batch.Revision) {
		return follow.Batch{}, follow.ErrCompacted
	}
	return follow.Batch{Revision: s.batch.Revision, ReadAt: at}, nil
}

// watchedControl is a control that notes the lowest version of a book with which the state
// was fresh after a change.
type watchedControl struct {
	control
	clock  *jumpingClock
	lowest uint64 // guarded by mu of control; 0 for none
}

func (c *watchedControl) Change(change func(dispatch.State, time.Time) dispatch.State) {
	c.control.Change(change)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.state; s.Fresh(c.clock.now()) && (c.lowest == 0 || s.Book.Version < c.lowest) {
		c.lowest = s.Book.Version
	}
}

// TestLostVersion guards against a gateway that was paused, or had not started, while a
// configuration was acknowledged and the store then came back from a copy without it. Its
// peers know that configuration. The listing of the copy must not make keys valid again that
// it took away.
func TestLostVersion(t *testing.T) {
	tests := []struct {
		name   string
		starts bool   // the gateway starts after the store came back
		held   uint64 // version that the peers hold by then; 0 if none responds
		want   uint64 // lowest version with which the state was fresh
	}{
		{"peers hold the lost version", false, 7, 7},
		{"peers hold what the copy has", false, 6, 6},
		{"no peer responds", false, 0, 6},
		{"peers hold the lost version, at the start", true, 7, 7},
		{"no peer responds, at the start", true, 0, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock, others := &jumpingClock{}, follow.NewMirror()
				s := &copiedStore{clock: clock}
				s.restore(1, 50, 6)
				c := &watchedControl{clock: clock}
				c.state = dispatch.New("g", "d", dispatch.Bounds{MaxStaleness: 4400 * time.Millisecond})
				start := func() *follow.Follower {
					return follow.New(s, peers{mirror: others}, follow.NewInbox(follow.NewMirror(), c, decodeBooks, clock.now), discardJournal{}, 4400*time.Millisecond)
				}
				if !tt.starts {
					defer start().Close()
					time.Sleep(5 * time.Second)
				}
				clock.pause(5 * time.Second)
				if tt.held > 0 {
					others.Apply(follow.Batch{Items: []follow.Item{{Key: "config", Version: tt.held, Revision: roster.Revision(1, 60)}}, Revision: roster.Revision(1, 60), Complete: true})
				}
				s.restore(2, 50, 6)
				c.mu.Lock()
				c.lowest = 0
				c.mu.Unlock()
				if tt.starts {
					defer start().Close()
				}
				time.Sleep(2 * time.Second)
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.lowest != tt.want {
					t.Errorf("the state was fresh with version %d, want %d", c.lowest, tt.want)
				}
			})
		})
	}
}

// decodeBooks converts each item to a book of its version.
func decodeBooks(batch follow.Batch, _ time.Time) dispatch.Update {
	update := dispatch.Update{Complete: batch.Complete, Revision: batch.Revision, ReadAt: batch.ReadAt}
	for _, item := range batch.Items {
		update.Books = append(update.Books, route.NewBook(item.Version))
	}
	return update
}
