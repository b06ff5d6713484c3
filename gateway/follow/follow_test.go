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

// store is a scripted store: items appear at times, and it is down in a span.
type store struct {
	mu        sync.Mutex
	items     map[string]follow.Item // guarded by mu
	revision  uint64                 // guarded by mu
	down      bool                   // guarded by mu
	compacted bool                   // guarded by mu
	calls     int                    // guarded by mu
	changed   chan struct{}          // guarded by mu; closed at a change
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

func (s *store) since(after uint64, removals bool) follow.Batch {
	batch := follow.Batch{Revision: s.revision, At: time.Now()}
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
	batch.Whole = true
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
	batch.At = at
	return batch, nil
}

// peers relays a mirror.
type peers struct {
	mirror *follow.Mirror
	spare  func() bool // nil for never
}

func (p peers) Spared() bool { return p.spare != nil && p.spare() }

func (p peers) Relayed(_ context.Context, after uint64) (follow.Batch, bool) {
	if p.mirror == nil {
		return follow.Batch{}, false
	}
	return p.mirror.Since(after)
}

// control keeps the state.
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

type quiet struct{}

func (quiet) Event(string, ...any) {}

// decode takes each key for a target's ID.
func decode(batch follow.Batch, _ time.Time) dispatch.Update {
	news := dispatch.Update{Complete: batch.Whole, Revision: batch.Revision, ReadAt: batch.At}
	for _, item := range batch.Items {
		if item.Removed {
			news.Removals = append(news.Removals, dispatch.Removal{Target: item.Key, Revision: item.Revision})
		} else {
			news.Targets = append(news.Targets, roster.Target{ID: item.Key, Service: "s", Slots: 1, Revision: item.Revision})
		}
	}
	return news
}

func follower(s *store, p follow.Peers) (*follow.Follower, *control, *follow.Mirror) {
	c := &control{state: dispatch.New("g", "d", dispatch.Bounds{MaxStaleness: 4400 * time.Millisecond})}
	mirror := follow.NewMirror()
	return follow.New(s, p, follow.NewInbox(mirror, c, decode, time.Now), quiet{}, 4400*time.Millisecond), c, mirror
}

func serving(c *control) int { return len(c.get().Roster.Serving("s", time.Now())) }

func TestFollow(t *testing.T) {
	tests := []struct {
		name string
		act  func(*store)
		wait time.Duration
		want int // targets that serve
	}{
		{"listed at the start", func(*store) {}, 0, 2},
		{"a new target within two seconds", func(s *store) { s.put("c", false) }, 2 * time.Second, 3},
		{"a removal within two seconds", func(s *store) { s.put("b", true) }, 2 * time.Second, 1},
		{"history dropped", func(s *store) { s.put("b", true); s.set(false, true) }, 2 * time.Second, 1},
		{"the store down", func(s *store) { s.set(true, false); s.put("b", true) }, time.Minute, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				s.put("a", false)
				s.put("b", false)
				f, c, _ := follower(s, peers{})
				defer f.Close()
				time.Sleep(5 * time.Second)
				tt.act(s)
				time.Sleep(tt.wait)
				if got := serving(c); got != tt.want {
					t.Errorf("%d targets serve, want %d", got, tt.want)
				}
			})
		})
	}
}

func TestProofAgesWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", false)
		f, c, _ := follower(s, peers{})
		defer f.Close()
		for range 30 {
			time.Sleep(time.Second)
			if !c.get().Fresh(time.Now()) {
				t.Fatal("the proof is too old though the store answers")
			}
		}
		s.set(true, false)
		time.Sleep(6 * time.Second)
		if c.get().Fresh(time.Now()) {
			t.Error("the proof is fresh 6 s after the store was last read")
		}
	})
}

// TestPeersRelay has the store turn one gateway away and serve the other.
func TestPeersRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served := newStore()
		served.put("a", false)
		good, _, mirror := follower(served, peers{})
		defer good.Close()
		time.Sleep(time.Second)
		away := newStore()
		away.set(true, false)
		f, c, _ := follower(away, peers{mirror: mirror})
		defer f.Close()
		for i := range 20 {
			time.Sleep(time.Second)
			if !c.get().Fresh(time.Now()) {
				t.Fatalf("after %d s the proof is too old though a peer reads the store", i+1)
			}
		}
		served.put("a", true)
		time.Sleep(4 * time.Second)
		if got, _ := mirror.Since(0); got.Revision != 2 {
			t.Fatalf("the peer is at revision %d, want 2", got.Revision)
		}
	})
}

// TestSparedGatewayReadsAgain has others read the store for a gateway, and one
// after another go silent or lose the store.
func TestSparedGatewayReadsAgain(t *testing.T) {
	tests := []struct {
		name  string
		relay bool // the readers still tell what they read
		spare bool // enough of them still read
		reads bool
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
				reader, _, mirror := follower(s, peers{})
				defer reader.Close()
				own := newStore()
				own.put("a", false)
				var spare, relay atomic.Bool
				spare.Store(true)
				relay.Store(true)
				f, c, known := follower(own, peers{spare: spare.Load})
				defer f.Close()
				time.Sleep(time.Second)
				told := time.NewTicker(400 * time.Millisecond)
				defer told.Stop()
				pass := func(seconds int) {
					for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); <-told.C {
						if batch, complete := mirror.Since(known.Revision()); complete && relay.Load() {
							known.Take(batch)
							c.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithUpdate(decode(batch, now), now) })
						}
						if !c.get().Fresh(time.Now()) {
							t.Fatal("the proof is too old though the store answers")
						}
					}
				}
				pass(5)
				spare.Store(tt.spare)
				relay.Store(tt.relay)
				own.mu.Lock()
				before := own.calls
				own.mu.Unlock()
				pass(20)
				own.mu.Lock()
				defer own.mu.Unlock()
				if calls := own.calls - before; (calls >= 10) != tt.reads || !tt.reads && calls > 0 {
					t.Errorf("%d calls in 20 s, want any: %t", calls, tt.reads)
				}
			})
		})
	}
}

func TestCallsAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", false)
		f, _, _ := follower(s, peers{})
		defer f.Close()
		for i := range 200 { // a heartbeat of some target each 100 ms
			time.Sleep(100 * time.Millisecond)
			s.put(fmt.Sprint("t", i%15), false)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.calls > 40 {
			t.Errorf("%d calls in 20 s, want at most two a second", s.calls)
		}
	})
}
