package pool

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	closeWait   = 20 * time.Millisecond // by then all connections of a process that ended are closed, also behind a proxy
	evidenceAge = time.Second           // a connection that was idle for longer may have ended for its age
)

// Reach is what connections to an address show of the process that listens there.
type Reach int

// The values of Reach.
const (
	Unreached Reach = iota // a new connection was neither accepted nor refused
	Refused                // a new connection was refused, or closed at once, as by a proxy before no process
	Accepted               // a new connection was accepted
	Renewed                // the same, but all that were in use a moment before have ended
	Kept                   // an earlier connection is still open
)

// Reach returns what idle connections to the address show, or a new one if there are
// none. A new connection that stays open is kept for a request.
func (p *Pool) Reach(ctx context.Context, address string) Reach {
	kept, ended := p.checkIdle(ctx, address)
	if kept {
		return Kept
	}
	c, err := p.dial(ctx, address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case err != nil:
		return Unreached
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(closeWait))
	_, err = c.reader.Peek(1)
	_ = c.raw.SetReadDeadline(time.Time{})
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		_ = c.raw.Close()
		if err != nil {
			return Refused
		}
		return Accepted
	}
	c.Release(nil)
	if ended {
		return Renewed
	}
	return Accepted
}

// checkIdle reports whether an idle connection to the address is open, and whether one
// that was idle for less than evidenceAge has ended. Connections that have ended leave the pool.
func (p *Pool) checkIdle(ctx context.Context, address string) (kept, ended bool) {
	p.mu.Lock()
	known := len(p.idle[address])
	p.mu.Unlock()
	if known == 0 {
		return false, false
	}
	timer := time.NewTimer(closeWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var open []*Conn
	for _, c := range p.idle[address] {
		if c.isIdle() {
			open = append(open, c)
			continue
		}
		ended = ended || time.Since(c.idleSince) < evidenceAge+closeWait
		_ = c.raw.Close()
	}
	p.idle[address] = open
	return len(open) > 0, ended
}
