package ingress

import "time"

const (
	defaultWriteTimeout = 30 * time.Second
	lateWriteTimeout    = 100 * time.Millisecond // after a timeout that may be due to a pause of the process
	writePieceBytes     = 16 << 10               // of a response, so that a slow reader of a long one makes progress in time
)

// Write writes to the caller. Where the handler has set no deadline, it fails if the caller
// takes no byte for the guard's write timeout. Otherwise callers that read no responses would
// keep their connections for ever, since a connection with a request isn't closed for another.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	timeout := c.guard.writeTimeout
	for {
		piece := p[written:]
		bounded := c.armWrite(timeout)
		if bounded {
			piece = piece[:min(len(piece), writePieceBytes)]
		}
		n, err := c.Conn.Write(piece)
		written += n
		switch {
		case written == len(p) || err != nil && !(bounded && isTimeout(err)):
			return written, err
		case n > 0:
			timeout = c.guard.writeTimeout
		case timeout == lateWriteTimeout:
			return written, err
		default:
			timeout = lateWriteTimeout
		}
	}
}

// SetWriteDeadline sets a deadline of writes in place of the guard's.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.externalWrite = t
	return c.Conn.SetWriteDeadline(t)
}

// armWrite sets the guard's deadline of writes. It reports false if another one applies or a
// handler took over the connection.
func (c *conn) armWrite(after time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == detached || !c.externalWrite.IsZero() {
		return false
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(after)) // fails only if the connection is closed; writes fail, too, then
	return true
}
