package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is an http.RoundTripper for clients of net/http that use no TLS. Its connections are
// Conns that also check the heads of responses.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that makes requests with base, which it owns. base must have
// a DialContext.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newScannedConn(conn), nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper. Its error wraps ErrMalformed if the bytes that follow
// the request are not a response.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Scheme != "http" {
		if request.Body != nil {
			_ = request.Body.Close()
		}
		return nil, fmt.Errorf("%s can't be read; use a URL that begins with http", request.URL)
	}
	var conn *scannedConn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn = info.Conn.(*scannedConn); info.Reused {
			conn.expectHead()
		}
	}})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil && conn != nil {
		if failure := conn.headFailure(); failure != nil {
			return nil, failure // net/http returns what it makes of the bytes before
		}
	}
	return response, err
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// scannedConn is a Conn that fails at the first byte that can't be a part of a head. It expects
// a head at its begin.
type scannedConn struct {
	*Conn

	readsEnded chan struct{} // closed when a read has failed or the connection is closed
	endReads   sync.Once     // closes readsEnded

	mu      sync.Mutex
	head    HeadScanner // guarded by mu
	failure error       // guarded by mu; what is wrong with the head, or nil
}

func newScannedConn(conn net.Conn) *scannedConn {
	return &scannedConn{Conn: NewConn(conn), readsEnded: make(chan struct{})}
}

// expectHead makes the connection expect the head of another response.
func (c *scannedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = HeadScanner{}
}

// headFailure returns an error that wraps ErrMalformed if the connection has failed at a head.
func (c *scannedConn) headFailure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// Read implements net.Conn. If it fails at a head, it returns the bytes before, and none later:
// net/http would accept a head that it has in full, and bufio drops an error that follows a part
// of a line.
func (c *scannedConn) Read(p []byte) (int, error) {
	if failure := c.headFailure(); failure != nil {
		return 0, failure
	}
	n, err := c.Conn.Read(p)
	if valid, malformed := c.scan(p[:n]); malformed != nil {
		n, err = valid, malformed
	}
	if err != nil {
		c.endReads.Do(func() { close(c.readsEnded) })
	}
	return n, err
}

// Write implements net.Conn. It reports a failure only when reads have ended, too. net/http closes a
// connection whose write failed, and would lose a response that arrived before the failure.
func (c *scannedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		<-c.readsEnded
	}
	return n, err
}

// Close implements net.Conn.
func (c *scannedConn) Close() error {
	c.endReads.Do(func() { close(c.readsEnded) })
	return c.Conn.Close()
}

// scan checks the heads in p, of the final response and of the interim ones before it. With an
// error, it returns how many bytes net/http may read: those that are valid. Of a head whose first
// byte is malformed, it may read that one, since it sends some requests again if it read nothing.
func (c *scannedConn) scan(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	scanned := 0
	atBegin := c.head == HeadScanner{}
	for scanned < len(p) && !c.head.Done() {
		n, err := c.head.Scan(p[scanned:])
		scanned += n
		if err != nil {
			c.failure = err
			if atBegin && scanned == 0 {
				return 1, err
			}
			return scanned, err
		}
		if c.head.Done() && c.head.Interim() {
			c.head = HeadScanner{}
		}
	}
	return len(p), nil
}
