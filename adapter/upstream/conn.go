// Package upstream defines what counts as an HTTP/1.1 response. Everything that reads
// responses of targets, peers and the platform applies it: package pool reads from a Conn,
// and clients of net/http use a Transport.
package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection on Linux.
const (
	stateEstablished = 1 // TCP_ESTABLISHED: neither side has closed the connection
	stateCloseWait   = 8 // TCP_CLOSE_WAIT: the peer closed the connection, and did not reset it since
)

// Conn is a client's TCP connection whose Read returns io.EOF only if the peer closed the
// connection, which may end a response, and never if the connection failed.
//
// The kernel reports a failure such as a reset to one call. If a request is still being written,
// that may be the write, and reads then see the same end of file as after an orderly close.
type Conn struct {
	net.Conn

	readFailure error // the latest error of a read other than io.EOF; nil for none

	writing      sync.Mutex // held while a write is in progress
	writeFailure error      // guarded by writing; the first error of a write
}

// NewConn returns a Conn that reads from and writes to conn, which it owns.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn. It fails if the underlying connection has no socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn := c.Conn
	for {
		switch inner := conn.(type) {
		case syscall.Conn:
			return inner.SyscallConn()
		case interface{ NetConn() net.Conn }:
			conn = inner.NetConn()
		default:
			return nil, errors.ErrUnsupported
		}
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeFailure == nil {
		c.writeFailure = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case err == io.EOF:
		err = c.endOfFile()
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		c.readFailure = err
	}
	return n, err
}

// endOfFile returns io.EOF if the peer closed the connection, or else the failure that an earlier
// read or a write was told of.
func (c *Conn) endOfFile() error {
	if c.readFailure != nil {
		return c.readFailure
	}
	if c.state() == stateCloseWait {
		return io.EOF
	}
	c.writing.Lock() // does not wait for long: writes to a connection that failed return at once
	defer c.writing.Unlock()
	// EPIPE tells a write that the peer had closed the connection before it was reset.
	if c.writeFailure == nil || errors.Is(c.writeFailure, syscall.EPIPE) {
		return io.EOF
	}
	return c.writeFailure
}

// Established reports whether neither side has closed or reset the connection.
func (c *Conn) Established() bool { return c.state() == stateEstablished }

// state returns the state of the TCP connection in the kernel, or 0 if it is not known.
func (c *Conn) state() uint8 {
	socket, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var state uint8
	err = socket.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	if err != nil {
		return 0
	}
	return state
}
