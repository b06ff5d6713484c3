package ingress

import (
	"net"
	"net/netip"
	"sync/atomic"

	"hornbeamtray/core/intake"
)

const (
	maxEvictions = 8  // tries to make room for one connection, since a connection may get a request before it is closed
	networkBits  = 64 // of an IPv6 address; callers choose the rest at will
)

// listener passes the connections that the guard accepts to net/http.
type listener struct {
	net.Listener

	guard   *Guard
	set     *set
	bounds  func() *bounds
	repeats bool

	stopping atomic.Bool // closeWaiting was called
}

// Accept waits for a connection and makes room for it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(raw, l)
		if l.guard.admit(c) {
			if l.stopping.Load() {
				c.evictBeforeRequest() // closeWaiting may not have seen it; net/http would wait for its request
			}
			return c, nil
		}
		_ = raw.Close() // nothing was received
		l.guard.refused(connections, c.owner)
	}
}

// closeWaiting closes the connections without a request. Those with a request whose body is
// still arriving stay open, so that their callers get a response.
func (l *listener) closeWaiting() {
	l.stopping.Store(true)
	l.guard.mu.Lock()
	members := append([]*conn(nil), l.set.members...)
	l.guard.mu.Unlock()
	for _, c := range members {
		if c.listener == l {
			c.evictBeforeRequest()
		}
	}
}

// set holds the open connections of one kind of listener. The guard's lock guards it.
type set struct {
	bound   int
	members []*conn
	scratch []intake.Connection
}

func (s *set) add(c *conn) {
	c.index = len(s.members)
	s.members = append(s.members, c)
}

func (s *set) remove(c *conn) {
	last := len(s.members) - 1
	s.members[c.index] = s.members[last]
	s.members[c.index].index = c.index
	s.members[last] = nil
	s.members = s.members[:last]
}

// victim returns the connection to close for a new one of newOwner, or nil.
func (s *set) victim(newOwner string) *conn {
	s.scratch = s.scratch[:0]
	for _, c := range s.members {
		since := c.waiting.Load()
		s.scratch = append(s.scratch, intake.Connection{Owner: c.owner, Since: since, Busy: since <= 0})
	}
	if i := intake.Victim(s.scratch, newOwner); i >= 0 {
		return s.members[i]
	}
	return nil
}

// admit adds a connection, if necessary in place of another.
func (g *Guard) admit(c *conn) bool {
	for range maxEvictions {
		g.mu.Lock()
		if len(c.listener.set.members) < c.listener.set.bound {
			c.listener.set.add(c)
			g.mu.Unlock()
			return true
		}
		victim := c.listener.set.victim(c.owner)
		g.mu.Unlock()
		if victim == nil {
			return false
		}
		if victim.evict() {
			g.refused(connections, victim.owner)
		}
	}
	return false
}

// remove removes a connection that was closed.
func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.listener.set.remove(c)
}

// ownerOf returns who a connection counts for: its address, or the network of an IPv6
// address.
func ownerOf(raw net.Conn) string {
	tcp, ok := raw.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return raw.RemoteAddr().String()
	}
	address := tcp.AddrPort().Addr().Unmap().WithZone("")
	if address.Is4() {
		return address.String()
	}
	return netip.PrefixFrom(address, networkBits).Masked().String()
}
