// Package socket limits the kernel's buffers for a connection, so that writers to
// a slow reader block early instead of filling an instance's memory, and runs
// HTTP servers.
package socket

import (
	"net"
	"net/http"

	"github.com/gravitational/trace"
)

// bufferBytes is the size of the kernel's buffer for each direction of a
// connection. The kernel may double it.
const bufferBytes = 32 << 10

// Listen listens on a TCP address for connections with limited buffers. Its error
// names setting as the setting to change.
func Listen(address, setting string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.BadParameter("can't listen on %s: %v; free the address or change %s", address, err, setting)
	}
	return boundedListener{listener}, nil
}

// LimitBuffers limits the kernel's buffers for a TCP connection.
func LimitBuffers(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(bufferBytes)
		_ = tcp.SetWriteBuffer(bufferBytes)
	}
}

// Break ends an answer of which a part was sent, so that it doesn't look whole. It never
// returns. A caller that speaks HTTP/1.0 takes the end of its connection for the end of the
// answer, so its connection is reset; others miss the last chunk.
func Break(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			Reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// Reset closes a connection so that its other end gets an error in place of the end, and
// its machine drops bytes in flight. Linux still hands out those received before.
func Reset(conn net.Conn) {
	raw := conn
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		raw = wrapper.NetConn()
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	_ = conn.Close()
}

type boundedListener struct {
	net.Listener
}

// Accept waits for a connection and limits its buffers.
func (b boundedListener) Accept() (net.Conn, error) {
	conn, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	LimitBuffers(conn)
	return conn, nil
}
