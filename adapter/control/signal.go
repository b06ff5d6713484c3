package control

import (
	"context"
	"sync"
)

// Signal wakes any number of waiting goroutines. The zero value is ready for use.
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

// Await waits until condition returns true. It calls condition at once and after
// each Raise, and returns false if ctx ends first.
func (s *Signal) Await(ctx context.Context, condition func() bool) bool {
	for {
		wait := s.Wait()
		if condition() {
			return true
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return false
		}
	}
}

// Raise wakes all waiting goroutines.
func (s *Signal) Raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
