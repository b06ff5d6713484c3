package follow_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/gateway/follow"
)

// faultyStore is a store whose reads fail in ways that are not outages of it.
type faultyStore struct {
	*store

	mu      sync.Mutex
	waiting chan struct{} // closed to cut the waiting watches; guarded by mu
	errs    []error       // of the next reads; guarded by mu
	delay   time.Duration // of the next errors; guarded by mu
}

func newFaultyStore() *faultyStore {
	s := &faultyStore{store: newStore(), waiting: make(chan struct{})}
	s.put("a", false)
	s.put("b", false)
	return s
}

// cut cuts the waiting watches.
func (f *faultyStore) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.waiting)
	f.waiting = make(chan struct{})
}

// fail makes the next reads fail, each after a delay.
func (f *faultyStore) fail(delay time.Duration, errs ...error) {
	f.mu.Lock()
	f.errs, f.delay = errs, delay
	f.mu.Unlock()
	f.cut()
}

func (f *faultyStore) next() (waiting chan struct{}, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.errs) > 0 {
		err, f.errs = f.errs[0], f.errs[1:]
	}
	return f.waiting, err
}

// List implements follow.Store.
func (f *faultyStore) List(ctx context.Context) (follow.Batch, error) {
	if _, err := f.next(); err != nil {
		time.Sleep(f.delay)
		return follow.Batch{}, err
	}
	return f.store.List(ctx)
}

// Watch implements follow.Store.
func (f *faultyStore) Watch(ctx context.Context, after uint64, wait time.Duration) (follow.Batch, error) {
	waiting, err := f.next()
	if err != nil {
		time.Sleep(f.delay)
		return follow.Batch{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := make(chan follow.Batch)
	failed := make(chan error)
	go func() {
		if batch, err := f.store.Watch(ctx, after, wait); err != nil {
			failed <- err
		} else {
			read <- batch
		}
	}()
	select {
	case batch := <-read:
		return batch, nil
	case err := <-failed:
		return follow.Batch{}, err
	case <-waiting:
		cancel()
		select {
		case <-read:
		case <-failed:
		}
		return follow.Batch{}, errors.New("the watch was cut")
	}
}

// TestRemovalBesideFailedReads guards against a target that gets work for seconds after its
// entry was removed, since a read of the store failed that was no outage.
func TestRemovalBesideFailedReads(t *testing.T) {
	failed := errors.New("500")
	tests := []struct {
		name string
		act  func(*faultyStore)
		end  time.Duration // from the first failure until the target must get no more work
	}{
		{"one cut before", func(s *faultyStore) { s.cut(); time.Sleep(20 * time.Millisecond); s.put("b", true) }, time.Second},
		{"a pair of cuts before", func(s *faultyStore) {
			s.cut()
			time.Sleep(40 * time.Millisecond)
			s.cut()
			time.Sleep(20 * time.Millisecond)
			s.put("b", true)
		}, time.Second},
		{"cuts at once", func(s *faultyStore) { s.cut(); s.cut(); s.put("b", true) }, time.Second},
		{"cut as it is removed, and again and again", func(s *faultyStore) {
			s.put("b", true)
			for range 8 {
				s.cut()
				time.Sleep(130 * time.Millisecond)
			}
		}, 1100 * time.Millisecond},
		{"one error", func(s *faultyStore) { s.fail(0, failed); s.put("b", true) }, time.Second},
		{"two errors", func(s *faultyStore) { s.fail(0, failed, failed); s.put("b", true) }, time.Second},
		{"one slow error", func(s *faultyStore) { s.fail(264*time.Millisecond, failed); s.put("b", true) }, 1300 * time.Millisecond},
		{"history dropped, then an error", func(s *faultyStore) { s.fail(0, fmt.Errorf("%w", follow.ErrCompacted), failed); s.put("b", true) }, time.Second},
		{"answers that can't be used", func(s *faultyStore) {
			s.fail(0, follow.ErrUnusable, follow.ErrUnusable, follow.ErrUnusable, follow.ErrUnusable)
			s.put("b", true)
		}, 1500 * time.Millisecond},
	}
	for _, tt := range tests {
		for _, at := range []time.Duration{0, 100 * time.Millisecond, 450 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprint(tt.name, " at ", at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newFaultyStore()
					f, c, _ := startFollower(s, peers{})
					defer f.Close()
					time.Sleep(5*time.Second + at)
					start := time.Now()
					tt.act(s)
					time.Sleep(time.Until(start.Add(tt.end)))
					if got := servingCount(c); got != 1 {
						t.Errorf("%d targets get work %s after the first failure, want 1", got, time.Since(start))
					}
				})
			})
		}
	}
}

// TestEntriesThatExpiredInOutage guards against running targets that get no work since their
// entries expired while the store was away, however short that was.
func TestEntriesThatExpiredInOutage(t *testing.T) {
	for _, away := range []time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFaultyStore()
				f, c, _ := startFollower(s, peers{})
				defer f.Close()
				time.Sleep(5 * time.Second)
				s.set(true, false)
				s.cut()
				time.Sleep(away)
				s.put("b", true)
				s.set(false, false)
				for range 19 { // listed again within 2 s
					time.Sleep(100 * time.Millisecond)
					if got := servingCount(c); got != 2 {
						t.Fatalf("%d targets get work after an outage of %s, want 2", got, away)
					}
				}
				s.put("b", false)
				time.Sleep(2 * time.Second)
				s.put("a", true) // long after the outage
				time.Sleep(time.Second)
				if got := servingCount(c); got != 1 {
					t.Errorf("%d targets get work after a removal beyond the grace period, want 1", got)
				}
			})
		})
	}
}
