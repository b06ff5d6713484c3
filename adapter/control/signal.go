package control

import (
	"context"
	"sync"
)

// Signal wakes any number of waiters. The zero value is ready for use.
type Signal struct {
	mu   sync.Mutex
	next chan struct{} // guarded by mu; closed and replaced by Raise
}

// Wait returns a channel that the next Raise closes.
func (s *Signal) Wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Await waits until holds, which is asked anew at each Raise, reports true. It
// reports whether ctx did not end before.
func (s *Signal) Await(ctx context.Context, holds func() bool) bool {
	for {
		wait := s.Wait()
		if holds() {
			return true
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return false
		}
	}
}

// Raise wakes all who wait.
func (s *Signal) Raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
