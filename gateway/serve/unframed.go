package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"hornbeamtray/core/roster"
)

const (
	// departureWait bounds the wait for the removal of a target's entry. A target that leaves
	// removes it as it exits, which is read within about a second; that of one that crashed
	// stays listed for longer.
	departureWait     = time.Second
	departureInterval = 20 * time.Millisecond
)

var (
	// errCrashedAtEnd is the error of an unframed answer whose target crashed.
	errCrashedAtEnd = fmt.Errorf("%w: it ended with the connection, and the target no longer runs", ErrClosed)
	// errUnprovenEnd is the error of an unframed answer that may be whole or not.
	errUnprovenEnd = errors.New("the answer ended with its connection, and nothing shows that it is whole")
)

// unframedReply is an answer that only the end of its connection ends. A target that
// crashes ends its connections, too; so the end needs a proof that the answer is whole.
type unframedReply struct {
	Reply

	prove func() error // returns an error unless the answer is whole
}

// Read implements Reply.
func (u unframedReply) Read(p []byte) (int, error) {
	n, err := u.Reply.Read(p)
	if err == io.EOF {
		if unproven := u.prove(); unproven != nil {
			err = unproven
		}
	}
	return n, err
}

// proveEnd returns an error unless an unframed answer of the current attempt, which has
// ended, is whole: its target still runs, or exited in order. If another attempt may
// follow, that one is made instead of waiting for a proof of the latter.
func (d *delivery) proveEnd(ctx context.Context, head Head) error {
	presence := d.service.presence(d.target)
	leaving := head.Leaving || d.service.State().Departing(d.target)
	switch {
	case presence == Present:
		return nil
	case presence == Gone && !leaving:
		return errCrashedAtEnd
	case !leaving || d.admission.Route.Repeatable() && d.mayRetry() || !d.service.leftInOrder(ctx, d.target):
		return errUnprovenEnd
	}
	return nil
}

// leftInOrder reports whether the entry of a target that no longer runs is removed from
// the platform's store within departureWait.
func (s *Service) leftInOrder(ctx context.Context, target roster.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, departureWait)
	defer cancel()
	ticker := time.NewTicker(departureInterval)
	defer ticker.Stop()
	if _, listed := s.State().Roster.Target(target.ID); !listed {
		return false // it was removed before the answer ended
	}
	for {
		if _, listed := s.State().Roster.Target(target.ID); !listed {
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}
