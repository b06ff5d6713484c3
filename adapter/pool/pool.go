// Package pool keeps connections to targets for HTTP/1.1 requests. It never sends
// a request itself.
//
// The transport of net/http retries some requests by itself when an idle
// connection breaks, which could run them twice; with this package the caller
// decides on every send. Keep-Alive is the only header that the package reads.
package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"hornbeamtray/adapter/socket"
	"hornbeamtray/adapter/upstream"
)

const (
	dialTimeout      = 700 * time.Millisecond // shorter than the 1 s after which a lost SYN is sent again: trying another target is faster
	idleTimeout      = 4 * time.Second        // for targets that send no timeout in Keep-Alive
	idleMargin       = time.Second            // an idle connection expires this long before the timeout that its target sent
	maxIdlePerTarget = 8                      // from one pool to one target; small, since the idle connections of all gateways add up at a target
	userTimeoutMS    = 1500                   // TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged
	readBufferBytes  = 4 << 10
	maxLatestBytes   = 256                   // of the ID that a connection remembers for logs; callers choose it
	closeWait        = 20 * time.Millisecond // by then a proxy has closed a connection to no process
	maxRequests      = 1000                  // on one connection; bounds what it remembers of them to 8 kB
)

// Pool keeps idle connections by address.
type Pool struct {
	local net.Addr

	mu     sync.Mutex
	idle   map[string][]*Conn // guarded by mu; by address, the most recently used last
	closed bool               // guarded by mu
}

// New returns an empty pool. Its connections originate from local, or from any
// address if local is nil.
func New(local net.IP) *Pool {
	p := &Pool{idle: map[string][]*Conn{}}
	if local != nil {
		p.local = &net.TCPAddr{IP: local}
	}
	return p
}

// Close closes all idle connections.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.raw.Close()
		}
	}
	p.idle = nil
	return nil
}

// Conn is a connection that serves one request at a time. After the request, the
// caller must call Release, Close or Abandon.
type Conn struct {
	pool      *Pool
	address   string
	raw       *upstream.Conn
	limited   *limitedReader // reads raw
	reader    *bufio.Reader  // reads limited
	openedAt  time.Time
	expiresAt time.Time // when the pool stops reusing the connection
	carried   []uint64  // hashes of the IDs of the requests that it carried
	latest    string    // ID of the latest of them, at most maxLatestBytes; empty if it had none
}

// Carry records that the connection carries a request from now on. It returns how many
// it carried before, and the ID of the latest of them, or its begin if it is long.
func (c *Conn) Carry(id string) (earlier int, previous string) {
	earlier, previous = len(c.carried), c.latest
	c.carried, c.latest = append(c.carried, xxhash.Sum64String(id)), strings.Clone(id[:min(len(id), maxLatestBytes)])
	return earlier, previous
}

// Name identifies the connection in logs: its local address.
func (c *Conn) Name() string { return c.raw.LocalAddr().String() }

// Age returns how long the connection has been open.
func (c *Conn) Age() time.Duration { return time.Since(c.openedAt) }

// Get returns an idle connection or a new one for a request with an ID. A connection never
// carries two requests with one ID, or another request beside one without an ID: a late copy
// of the answer to the first could not be told from the answer to the second. An error means
// that no connection could be made, so nothing was sent.
func (p *Pool) Get(ctx context.Context, address, id string) (*Conn, error) {
	for c := p.takeIdle(address, id); c != nil; c = p.takeIdle(address, id) {
		if time.Now().Before(c.expiresAt) && c.isIdle() {
			return c, nil
		}
		_ = c.raw.Close()
	}
	c, err := p.Dial(ctx, address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "the target at %s can't be reached; check that it runs", address)
	}
	return c, nil
}

// Dial returns a new connection.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: p.local, Control: setUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	socket.LimitBuffers(conn) // a target may send without end what nobody reads
	raw := upstream.NewConn(conn)
	limited := &limitedReader{source: raw}
	return &Conn{pool: p, address: address, raw: raw, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes), openedAt: time.Now()}, nil
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMS)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// takeIdle takes the connection to an address that was used last, of those that may carry a
// request with an ID, from the pool. It returns nil if there is none.
func (p *Pool) takeIdle(address, id string) *Conn {
	if id == "" {
		return nil
	}
	hash := xxhash.Sum64String(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i, c := range slices.Backward(conns) {
		if !slices.Contains(c.carried, hash) {
			p.idle[address] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// Release returns the connection to the pool for other requests. The Keep-Alive
// header in the head of the answer limits how long the connection may stay idle.
// Release closes the connection instead if this limit leaves no idle time, the pool
// is closed, the pool has maxIdlePerTarget connections to the target already, or the
// connection carried maxRequests or a request without an ID.
func (c *Conn) Release(head http.Header) {
	timeout := idleTimeout
	if keepAlive, found := keepAliveTimeout(head); found {
		timeout = keepAlive - idleMargin
	}
	c.expiresAt = time.Now().Add(timeout)
	p := c.pool
	p.mu.Lock()
	keep := !p.closed && timeout > 0 && len(p.idle[c.address]) < maxIdlePerTarget &&
		len(c.carried) < maxRequests && (len(c.carried) == 0 || c.latest != "")
	if keep {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.raw.Close()
	}
}

// keepAliveTimeout returns the timeout in a Keep-Alive header.
func keepAliveTimeout(head http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(head.Get("Keep-Alive"), ",") {
		if value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if seconds, err := strconv.Atoi(value); err == nil {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}

// Close closes the connection after a complete answer.
func (c *Conn) Close() { _ = c.raw.Close() }

// Abandon resets the connection in the middle of a request. The reset makes the
// target's machine drop bytes in flight. What the machine received before may still be
// read, also by a paused target when it resumes: the request may run.
func (c *Conn) Abandon() { socket.Reset(c.raw) }

// Raw returns the underlying connection, for writing and for closing it from
// another goroutine.
func (c *Conn) Raw() net.Conn { return c.raw }

// Reader returns the buffered reader of the connection.
func (c *Conn) Reader() *bufio.Reader { return c.reader }

// TargetClosed reports whether the latest read found that the target had closed or
// reset the connection.
func (c *Conn) TargetClosed() bool {
	return errors.Is(c.limited.failure, io.EOF) || errors.Is(c.limited.failure, syscall.ECONNRESET)
}

// LimitReads makes Reader fail with ErrTooManyBytes once it has read so many more bytes from
// the connection, and ReadResponse with ErrTooManyLines once the heads that it reads have
// more lines together. Up to one read buffer of bytes that follow counts as read.
func (c *Conn) LimitReads(bytes int64, lines int) { c.limited.limit(bytes, lines) }

// UnlimitReads removes the limits.
func (c *Conn) UnlimitReads() { c.limited.unlimit() }

// ReadResponse reads the head of a response, whose body Reader then returns. Its error wraps
// upstream.ErrMalformed if the bytes are not a response.
func (c *Conn) ReadResponse(request *http.Request) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // can't fail, as it reads nothing
	if err := c.limited.beginHead(buffered); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil && c.limited.malformed != nil {
		err = c.limited.malformed // http.ReadResponse returns what it makes of the bytes before
	}
	return response, err
}

// ClosesAtOnce waits for a moment and reports whether the target has closed or reset a new connection,
// as a proxy does that accepts connections for a process that doesn't run.
func (c *Conn) ClosesAtOnce() bool {
	_ = c.raw.SetReadDeadline(time.Now().Add(closeWait))
	_, err := c.reader.Peek(1)
	_ = c.raw.SetReadDeadline(time.Time{})
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// isIdle reports whether the connection is open and has no unread bytes.
func (c *Conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	control, err := c.raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
