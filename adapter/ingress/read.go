package ingress

import (
	"sync"
	"time"

	"hornbeamtray/core/intake"
)

// kept holds bytes that were received but not passed on yet.
type kept struct {
	bytes      [keptBytes]byte
	begin, end int
}

var keptPool = sync.Pool{New: func() any { return new(kept) }}

// Read reads from the caller. It returns no byte beyond the end of a head together with those
// before it, so that net/http holds only bytes that the guard has counted.
func (c *conn) Read(p []byte) (int, error) {
	for {
		size, err := c.prepare(len(p))
		if err != nil || size == 0 {
			return 0, err
		}
		n, err := c.fetch(p[:size])
		if n == 0 {
			again, refused := c.fail(err, len(p))
			switch {
			case refused:
				return 0, c.refuse(headTimeout, p)
			case again:
				continue
			}
			return 0, err
		}
		pass, refused, err := c.take(p[:n], len(p))
		switch {
		case refused != accepted:
			return 0, c.refuse(refused, p)
		case pass > 0 || err != nil:
			return pass, err
		}
	}
}

// prepare returns how many of size bytes to read next, and sets the deadline of a body.
func (c *conn) prepare(size int) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.failed:
		return 0, errRefused
	case c.phase == detached:
		return size, nil
	case c.open || c.body > 0:
		if !c.lingers && !c.late {
			c.arm(c.bounds.bodyTimeout)
		}
		if c.open {
			return size, nil
		}
		return int(min(int64(size), c.body)), nil
	}
	return min(size, keptBytes), nil
}

// fetch reads bytes that were kept, or else from the connection.
func (c *conn) fetch(p []byte) (int, error) {
	if c.kept == nil {
		return c.Conn.Read(p)
	}
	n := copy(p, c.kept.bytes[c.kept.begin:c.kept.end])
	c.kept.begin += n
	return n, nil
}

// keep keeps the last bytes that fetch returned for the next read.
func (c *conn) keep(p []byte) {
	switch {
	case c.kept != nil:
		c.kept.begin -= len(p)
	case len(p) > 0:
		c.kept = keptPool.Get().(*kept)
		c.kept.begin, c.kept.end = 0, copy(c.kept.bytes[:], p)
	}
	if c.kept != nil && c.kept.begin == c.kept.end {
		keptPool.Put(c.kept)
		c.kept = nil
	}
}

// fail handles an error of a read. It reports whether to read again, and whether to refuse
// the caller because its head is late. The read after a timeout finds what arrived
// while the process was paused. size is the number of bytes that net/http asked for.
func (c *conn) fail(err error, size int) (again, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isTimeout(err) || c.own.IsZero() || time.Now().Before(c.own) || !c.external.IsZero() && !time.Now().Before(c.external) {
		return false, false
	}
	if !c.late && !c.lingers {
		c.late = true
		c.arm(lateReadTimeout)
		return true, false
	}
	return false, c.phase == waitingForHead && !c.readsAhead(size) && c.scan.begun()
}

// readsAhead reports whether a read for size bytes may be the one with which net/http watches
// the connection of a request whose head it has. A refusal in place of it would look like the
// response to this request, which runs. net/http asks for a single byte then; after a body in
// chunks, only that tells this read from one of a head. The caller holds c.mu.
func (c *conn) readsAhead(size int) bool {
	return c.phase == serving || c.complete || c.partial && size == 1
}

// take counts the bytes of p, which were received for a read of size bytes. It returns how many
// at its front to pass on, or why the caller is refused.
func (c *conn) take(p []byte, size int) (int, kind, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == detached || c.open:
		c.late = false
		c.keep(nil)
		return len(p), accepted, nil
	case c.body > 0:
		c.late = false
		c.keep(nil)
		if c.body -= int64(len(p)); c.body == 0 {
			c.arm(0)
		}
		return len(p), accepted, nil
	}
	begun := c.scan.begun()
	pass, rest := c.scan.feed(p)
	c.keep(p[pass : pass+rest])
	if c.readsAhead(size) {
		return c.takeAhead(p, pass), accepted, nil
	}
	if !begun {
		c.beginHead()
	}
	if refused := c.check(); refused != accepted {
		return 0, refused, nil
	}
	if !c.scan.ended {
		return pass, accepted, nil
	}
	if !c.hold() {
		return 0, accepted, errRefused
	}
	if !c.partial { // else this may be an empty line before the head
		c.complete, c.scan = true, scanner{}
		c.arm(0)
	}
	return pass, accepted, nil
}

// takeAhead passes on bytes of the next head while a request is in flight, which must not
// fail because of them. net/http reads a single one.
func (c *conn) takeAhead(p []byte, pass int) int {
	if pass == 0 && c.scan.tooManyEmpty() {
		p[0] = '\n' // ends the read; the next one refuses the caller
		return 1
	}
	return pass
}

// beginHead fixes the limits of a head when its first byte arrives.
func (c *conn) beginHead() {
	c.bounds = c.listener.bounds()
	c.late = false
	c.arm(c.bounds.headTimeout)
}

// check returns why the head that arrived so far is refused, and reserves memory for it.
func (c *conn) check() kind {
	slack := 0
	if c.partial {
		slack = keptBytes // bytes beyond the head, which the scanner can't tell apart
	}
	switch {
	case c.scan.tooManyEmpty():
		return emptyLines
	case c.scan.bytes > c.bounds.headBytes+slack:
		return headBytes
	case c.scan.lines > c.bounds.headLines:
		return headLines
	case !c.head.resize(max(c.head.need, intake.Cost(c.scan.bytes, c.scan.lines))):
		return memory
	}
	return accepted
}

// refuse writes a refusal, ends the direction to the caller and discards what it still sends
// for a while. It uses p as a buffer.
func (c *conn) refuse(k kind, p []byte) error {
	c.mu.Lock()
	c.failed = true
	c.mu.Unlock()
	c.guard.refused(k, c.owner)
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTimeout))
	if _, err := c.Conn.Write(responses[k].bytes(c.repeats)); err != nil {
		return errRefused // the caller has disconnected or reads nothing
	}
	_ = c.CloseWrite()
	for discarded := 0; discarded < lingerBytes; {
		n, err := c.Conn.Read(p)
		if err != nil {
			break
		}
		discarded += n
	}
	return errRefused
}
