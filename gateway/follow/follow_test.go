package follow_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
	"hornbeamtray/gateway/follow"
)

// store is a fake store that can be set to fail, or to have dropped its
// history.
type store struct {
	mu        sync.Mutex
	items     map[string]follow.Item // guarded by mu
	revision  uint64                 // guarded by mu
	down      bool                   // guarded by mu
	compacted bool                   // guarded by mu
	calls     int                    // guarded by mu
	changed   chan struct{}          // guarded by mu; closed at the next change
}

func newStore() *store {
	return &store{items: map[string]follow.Item{}, changed: make(chan struct{})}
}

func (s *store) put(key string, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = follow.Item{Key: key, Revision: s.revision, Removed: removed}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(down, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.compacted = down, compacted
}

// endWatches lets the waiting watches return without changes.
func (s *store) endWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) since(after uint64, removals bool) follow.Batch {
	batch := follow.Batch{Revision: s.revision, ReadAt: time.Now()}
	for _, item := range s.items {
		if item.Revision > after && (removals || !item.Removed) {
			batch.Items = append(batch.Items, item)
		}
	}
	return batch
}

func (s *store) List(context.Context) (follow.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return follow.Batch{}, errors.New("503")
	}
	s.compacted = false
	batch := s.since(0, false)
	batch.Complete = true
	return batch, nil
}

func (s *store) Watch(ctx context.Context, after uint64, wait time.Duration) (follow.Batch, error) {
	s.mu.Lock()
	s.calls++
	changed, down, compacted, behind := s.changed, s.down, s.compacted, s.revision > after
	at := time.Now()
	s.mu.Unlock()
	switch {
	case down:
		return follow.Batch{}, errors.New("503")
	case compacted:
		return follow.Batch{}, fmt.Errorf("%w", follow.ErrCompacted)
	case !behind:
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return follow.Batch{}, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return follow.Batch{}, errors.New("the watch was cut")
	}
	batch := s.since(after, true)
	batch.ReadAt = at
	return batch, nil
}

// peers is a fake follow.Peers that returns changes from a mirror.
type peers struct {
	mirror        *follow.Mirror
	enoughReaders func() bool // nil for never
}

func (p peers) EnoughReaders() bool { return p.enoughReaders != nil && p.enoughReaders() }

func (p peers) FetchNewest(_ context.Context, after uint64) (follow.Batch, bool) {
	if p.mirror == nil {
		return follow.Batch{}, false
	}
	return p.mirror.Since(after)
}

func (p peers) FetchVersions(_ context.Context, above uint64) (follow.Batch, bool) {
	if p.mirror == nil || p.mirror.Version() <= above {
		return follow.Batch{}, false
	}
	batch, _ := p.mirror.Since(0)
	return batch.Versioned(), true
}

// control holds the gateway's state.
type control struct {
	mu    sync.Mutex
	state dispatch.State // guarded by mu
}

func (c *control) Change(change func(dispatch.State, time.Time) dispatch.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = change(c.state, time.Now())
}

func (c *control) get() dispatch.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

type discardJournal struct{}

func (discardJournal) Event(string, ...any) {}

// decode converts each item to a target whose ID is the item's key.
func decode(batch follow.Batch, _ time.Time) dispatch.Update {
	update := dispatch.Update{Complete: batch.Complete, Revision: batch.Revision, ReadAt: batch.ReadAt}
	for _, item := range batch.Items {
		if item.Removed {
			update.Removals = append(update.Removals, dispatch.Removal{Target: item.Key, Revision: item.Revision})
		} else {
			update.Targets = append(update.Targets, roster.Target{ID: item.Key, Service: "s", Slots: 1, Revision: item.Revision})
		}
	}
	return update
}

func startFollower(s follow.Store, p follow.Peers) (*follow.Follower, *control, *follow.Mirror) {
	c := &control{state: dispatch.New("g", "d", dispatch.Bounds{MaxStaleness: 4400 * time.Millisecond})}
	mirror := follow.NewMirror()
	return follow.New(s, p, follow.NewInbox(mirror, c, decode, time.Now), discardJournal{}, 4400*time.Millisecond), c, mirror
}

func servingCount(c *control) int { return len(c.get().Roster.Serving("s", time.Now())) }

func TestFollow(t *testing.T) {
	tests := []struct {
		name string
		act  func(*store)
		wait time.Duration
		want int // number of serving targets
	}{
		{"listed at the start", func(*store) {}, 0, 2},
		{"a new target within two seconds", func(s *store) { s.put("c", false) }, 2 * time.Second, 3},
		{"a removal within two seconds", func(s *store) { s.put("b", true) }, 2 * time.Second, 1},
		{"history dropped", func(s *store) { s.put("b", true); s.set(false, true) }, 2 * time.Second, 1},
		{"store unreachable", func(s *store) { s.set(true, false); s.put("b", true) }, time.Minute, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				s.put("a", false)
				s.put("b", false)
				f, c, _ := startFollower(s, peers{})
				defer f.Close()
				time.Sleep(5 * time.Second)
				tt.act(s)
				time.Sleep(tt.wait)
				if got := servingCount(c); got != tt.want {
					t.Errorf("%d targets are serving, want %d", got, tt.want)
				}
			})
		})
	}
}

func TestStaleAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", false)
		f, c, _ := startFollower(s, peers{})
		defer f.Close()
		for range 30 {
			time.Sleep(time.Second)
			if !c.get().Fresh(time.Now()) {
				t.Fatal("the state is stale although the store responds")
			}
		}
		s.set(true, false)
		time.Sleep(6 * time.Second)
		if c.get().Fresh(time.Now()) {
			t.Error("the state is fresh 6 s after the last read of the store")
		}
	})
}

// TestFetchFromPeers makes the store unreachable for one of two gateways, which
// must stay fresh by fetching from the other.
func TestFetchFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reachable := newStore()
		reachable.put("a", false)
		reader, _, mirror := startFollower(reachable, peers{})
		defer reader.Close()
		time.Sleep(time.Second)
		unreachable := newStore()
		unreachable.set(true, false)
		f, c, _ := startFollower(unreachable, peers{mirror: mirror})
		defer f.Close()
		for i := range 20 {
			time.Sleep(time.Second)
			if !c.get().Fresh(time.Now()) {
				t.Fatalf("after %d s the state is stale although a peer reads the store", i+1)
			}
		}
		reachable.put("a", true)
		time.Sleep(4 * time.Second)
		if got, _ := mirror.Since(0); got.Revision != 2 {
			t.Fatalf("the mirror of the peer is at revision %d, want 2", got.Revision)
		}
	})
}

// TestSparedGatewayReadsAgain checks that a gateway which leaves reading the
// store to its peers reads it again once too few of them do, or once they no
// longer pass on what they read.
func TestSparedGatewayReadsAgain(t *testing.T) {
	tests := []struct {
		name          string
		relays        bool // the reader still passes on what it reads
		enoughReaders bool // enough peers still read the store
		reads         bool // the gateway must read the store itself
	}{
		{"others read", true, true, false},
		{"too few others read", true, false, true},
		{"others read, but what they tell is old", false, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				s.put("a", false)
				reader, _, mirror := startFollower(s, peers{})
				defer reader.Close()
				ownStore := newStore()
				ownStore.put("a", false)
				var enoughReaders, relays atomic.Bool
				enoughReaders.Store(true)
				relays.Store(true)
				f, c, ownMirror := startFollower(ownStore, peers{enoughReaders: enoughReaders.Load})
				defer f.Close()
				time.Sleep(time.Second)
				ticker := time.NewTicker(400 * time.Millisecond)
				defer ticker.Stop()
				relayFor := func(seconds int) {
					for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); <-ticker.C {
						if batch, listed := mirror.Since(ownMirror.Revision()); listed && relays.Load() {
							ownMirror.Apply(batch)
							c.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithUpdate(decode(batch, now), now) })
						}
						if !c.get().Fresh(time.Now()) {
							t.Fatal("the state is stale although the store responds")
						}
					}
				}
				relayFor(5)
				enoughReaders.Store(tt.enoughReaders)
				relays.Store(tt.relays)
				ownStore.mu.Lock()
				before := ownStore.calls
				ownStore.mu.Unlock()
				relayFor(20)
				ownStore.mu.Lock()
				defer ownStore.mu.Unlock()
				if calls := ownStore.calls - before; (calls >= 10) != tt.reads || !tt.reads && calls > 0 {
					t.Errorf("%d store calls in 20 s, want at least 10 if the gateway must read the store (%t), otherwise none", calls, tt.reads)
				}
			})
		})
	}
}

func TestStoreCallRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", false)
		f, _, _ := startFollower(s, peers{})
		defer f.Close()
		for i := range 200 { // one of 15 targets sends a heartbeat each 100 ms
			time.Sleep(100 * time.Millisecond)
			s.put(fmt.Sprint("t", i%15), false)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.calls > 40 {
			t.Errorf("%d store calls in 20 s, want at most two a second", s.calls)
		}
	})
}
