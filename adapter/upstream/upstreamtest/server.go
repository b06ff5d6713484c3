// Package upstreamtest provides servers whose tests decide on every byte that they send.
package upstreamtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
)

const segmentPause = 20 * time.Millisecond

// Handler answers a request, whose body is not read yet. n is the number of requests that came
// before it on the connection. It reports whether another one may follow; otherwise the
// connection is closed.
type Handler func(conn *net.TCPConn, request *http.Request, n int) bool

// Text returns a Handler that answers with a text and closes the connection.
func Text(text string) Handler {
	return func(conn *net.TCPConn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, text) // fails only if the client has closed the connection
		return false
	}
}

// WriteSegments writes texts so that the client reads each by itself.
func WriteSegments(conn *net.TCPConn, texts ...string) {
	for _, text := range texts {
		_, _ = io.WriteString(conn, text) // fails only if the client has closed the connection
		time.Sleep(segmentPause)
	}
}

// Reset closes a connection so that its client gets an error in place of the end.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only if the connection is closed
	_ = conn.Close()
}

// Server serves HTTP/1.1 requests on a loopback address until the test ends.
type Server struct {
	tomb        tomb.Tomb
	listener    net.Listener
	handler     Handler
	requests    atomic.Int64
	connections atomic.Int64

	mu     sync.Mutex
	open   map[*net.TCPConn]struct{} // guarded by mu
	closed bool                      // guarded by mu
}

// NewServer starts a server that answers with handler.
func NewServer(t testing.TB, handler Handler) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: listener, handler: handler, open: map[*net.TCPConn]struct{}{}}
	s.tomb.Go(s.run)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// Address returns the IP and port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the URL of the server, without a path.
func (s *Server) URL() string { return "http://" + s.Address() }

// Requests returns how many requests came.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Connections returns how many connections were opened.
func (s *Server) Connections() int64 { return s.connections.Load() }

// Refuse makes the server refuse new connections.
func (s *Server) Refuse() { _ = s.listener.Close() }

// CloseOthers closes all open connections but one.
func (s *Server) CloseOthers(conn *net.TCPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other := range s.open {
		if other != conn {
			_ = other.Close()
		}
	}
}

// Close closes all connections and waits until their handlers have returned.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close()
	for conn := range s.open {
		_ = conn.Close()
	}
	s.mu.Unlock()
	return s.tomb.Wait()
}

func (s *Server) run() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return nil // closed
		}
		s.connections.Add(1)
		c := &connection{server: s, conn: conn.(*net.TCPConn)}
		s.tomb.Go(c.run)
	}
}

// add records an open connection. It reports false if the server is closed.
func (s *Server) add(conn *net.TCPConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[conn] = struct{}{}
	return !s.closed
}

func (s *Server) remove(conn *net.TCPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// connection is a connection of a Server.
type connection struct {
	server *Server
	conn   *net.TCPConn
}

// run serves requests until the client or a handler ends the connection.
func (c *connection) run() error {
	defer c.conn.Close()
	if !c.server.add(c.conn) {
		return nil
	}
	defer c.server.remove(c.conn)
	reader := bufio.NewReader(c.conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return nil // the client has closed the connection
		}
		c.server.requests.Add(1)
		if !c.server.handler(c.conn, request, n) {
			return nil
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return nil // the client has closed the connection
		}
	}
}
