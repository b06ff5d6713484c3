// Package socket bounds what the kernel holds for a connection, so that slow
// readers hold writers back early instead of filling an instance's memory, and
// runs HTTP servers on such connections.
package socket

import (
	"net"

	"github.com/gravitational/trace"
)

// bufferBytes bounds what the kernel holds in one direction of a connection; it
// may double the number.
const bufferBytes = 32 << 10

// Listen listens on a TCP address for connections with bounded buffers.
func Listen(address, setting string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.BadParameter("can't listen on %s: %v; free the address or change %s", address, err, setting)
	}
	return bounded{listener}, nil
}

// Bound bounds the buffers of a connection.
func Bound(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(bufferBytes)
		_ = tcp.SetWriteBuffer(bufferBytes)
	}
}

type bounded struct {
	net.Listener
}

// Accept waits for a connection and bounds its buffers.
func (b bounded) Accept() (net.Conn, error) {
	conn, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	Bound(conn)
	return conn, nil
}
