package ingress

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamtray/core/intake"
)

const (
	evicted = -1 // value of conn.waiting

	lingerTimeout = 500 * time.Millisecond // after a refusal, for the caller to read it
	lingerBytes   = 64 << 10               // that are discarded after a refusal; a reset in place of that may destroy the response

	keptBytes = 4 << 10 // at most; net/http reads heads with buffers of this size
)

// errRefused is returned by reads after a refusal. net/http responds to no error of a read.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("refused")}

// phase says what a connection does.
type phase int

const (
	waitingForHead phase = iota // the head is arriving, or the connection is idle
	serving                     // a handler runs, or its response is being sent
	detached                    // a handler took over the connection
)

// conn is a connection between a listener and net/http, which reads from one goroutine at
// a time.
type conn struct {
	net.Conn

	listener *listener
	guard    *Guard
	owner    string
	repeats  bool
	index    int // in the set; the guard's lock guards it
	closing  sync.Once

	// waiting is when the connection began to wait for a request or for its body, 0 while it
	// carries a whole request, and evicted if it was closed for lack of one.
	waiting atomic.Int64

	kept *kept // bytes that were received beyond the end of a head, or nil; used only by reads

	mu       sync.Mutex // guards the following; never held while the connection is read or written
	phase    phase
	bounds   *bounds // of the current head
	scan     scanner // of the current or, once complete, the next head
	complete bool    // net/http has the whole head of a request that has not started
	partial  bool    // net/http may hold bytes of the next heads, as after a body in chunks
	failed   bool    // the caller was refused
	late     bool    // the last read after a timeout is under way
	body     int64   // bytes of the current body that have not arrived
	open     bool    // the current body has no known end and has not ended
	lingers  bool    // the rest of the body is discarded

	own      time.Time // the guard's read deadline
	external time.Time // net/http's read deadline
	applied  time.Time // the earlier of them

	externalWrite time.Time // write deadline of net/http or a handler

	head    reservation
	content *reservation // of the current body, or nil
}

func newConn(raw net.Conn, l *listener) *conn {
	owner := ownerOf(raw)
	c := &conn{Conn: raw, listener: l, guard: l.guard, owner: owner, repeats: l.repeats, bounds: l.bounds()}
	c.head = reservation{guard: l.guard, owner: owner, free: freeMemory}
	c.waiting.Store(l.guard.now())
	c.arm(c.bounds.idleTimeout) // callers may open connections ahead
	return c
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the direction to the caller.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closing.Do(func() { c.guard.remove(c) })
	return c.Conn.Close()
}

// evict closes the connection unless it carries a request. It reports whether it closed it.
func (c *conn) evict() bool {
	since := c.waiting.Load()
	if since <= 0 || !c.waiting.CompareAndSwap(since, evicted) {
		return false
	}
	_ = c.Close() // a failure means that it is closed
	return true
}

// evictBeforeRequest closes the connection unless a request has started.
func (c *conn) evictBeforeRequest() {
	c.mu.Lock()
	since := c.waiting.Load()
	evicts := c.phase == waitingForHead && since > 0 && c.waiting.CompareAndSwap(since, evicted)
	c.mu.Unlock()
	if evicts {
		_ = c.Close() // a failure means that it is closed
	}
}

// hold marks the connection as carrying a request. It reports false if it was evicted.
func (c *conn) hold() bool {
	for {
		since := c.waiting.Load()
		if since <= 0 {
			return since != evicted
		}
		if c.waiting.CompareAndSwap(since, 0) {
			return true
		}
	}
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline sets a deadline of reads besides those of the guard.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.external = t
	return c.applyDeadline()
}

// arm sets the guard's deadline to after the given time, or clears it. The caller holds c.mu.
func (c *conn) arm(after time.Duration) {
	c.own = time.Time{}
	if after > 0 {
		c.own = time.Now().Add(after)
	}
	_ = c.applyDeadline() // fails only if the connection is closed; reads fail, too, then
}

// applyDeadline applies the earlier deadline. The caller holds c.mu.
func (c *conn) applyDeadline() error {
	deadline := c.own
	if deadline.IsZero() || !c.external.IsZero() && c.external.Before(deadline) {
		deadline = c.external
	}
	if deadline.Equal(c.applied) {
		return nil
	}
	c.applied = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// idle prepares for the next head after a request.
func (c *conn) idle() {
	c.endRequest()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.complete, c.late, c.body, c.open = waitingForHead, false, false, 0, false
	c.bounds = c.listener.bounds()
	if c.partial {
		c.scan = partialScanner()
	}
	if c.scan.begun() {
		c.arm(c.bounds.headTimeout)
	} else {
		c.arm(c.bounds.idleTimeout)
	}
	c.waiting.CompareAndSwap(0, c.guard.now())
}

// begin starts a request whose head net/http has parsed. It returns memory if there is no
// room for the head, and connections if the connection was closed.
func (c *conn) begin(r *http.Request) kind {
	if !c.hold() {
		return connections
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.late = serving, false
	if r.ContentLength != 0 {
		c.waiting.Store(c.guard.now()) // endBody holds it again: a body without end must not keep its connection open for ever
	}
	c.partial = c.partial || !c.complete
	charge := c.partial
	c.complete = false
	switch {
	case r.ContentLength == 0:
	case c.partial || r.ContentLength < 0:
		c.partial, c.open = true, true
	default:
		c.body = r.ContentLength
	}
	if c.partial {
		c.scan = partialScanner()
	}
	c.arm(0)
	if charge && !c.head.resize(max(c.head.need, costOf(r))) {
		return memory
	}
	return accepted
}

// costOf returns the memory that a parsed head takes.
func costOf(r *http.Request) int64 {
	size, lines := len(r.Method)+len(r.RequestURI)+len(r.Host), 2
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
			lines++
		}
	}
	return intake.Cost(size, lines)
}

// finish ends the handler of a request. The memory of a request is released once its response
// was sent, or here if no one learns of that.
func (c *conn) finish() {
	c.mu.Lock()
	isDetached := c.phase == detached
	c.mu.Unlock()
	if isDetached {
		c.endRequest()
	}
}

// hijacked leaves the connection to a handler.
func (c *conn) hijacked() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = detached
	c.arm(0)
}

// endRequest releases the memory of a request.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.release()
	if c.content != nil {
		c.content.release()
		c.content = nil
	}
}

// isTimeout reports whether err is that of a read after its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
