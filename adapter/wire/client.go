package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"hornbeamtray/adapter/socket"
)

// Bounds on connections. Each connection carries one call at a time.
const (
	DefaultMaxCalls = 128 // DefaultMaxCalls is the default bound on concurrent calls to one address.
	dialTimeout     = time.Second
	idleTimeout     = 30 * time.Second
	softCancelGrace = 10 * time.Millisecond
	maxMessageBytes = 4 << 20
)

// Client pools connections by address.
type Client struct {
	maxCalls int
	local    net.Addr // address that connections originate from; nil for any
	pool     *drpcpool.Pool[string, *drpcconn.Conn]

	mu    sync.Mutex
	slots map[string]chan struct{} // guarded by mu; semaphores by address; each lease holds one element
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithMaxCalls bounds concurrent calls to one address.
func WithMaxCalls(calls int) ClientOption {
	return func(c *Client) { c.maxCalls = calls }
}

// WithLocal makes connections originate from ip, so that the network can
// distinguish instances.
func WithLocal(ip net.IP) ClientOption {
	return func(c *Client) { c.local = &net.TCPAddr{IP: ip} }
}

// NewClient returns a client without connections.
func NewClient(options ...ClientOption) *Client {
	c := &Client{maxCalls: DefaultMaxCalls, slots: map[string]chan struct{}{}}
	for _, option := range options {
		option(c)
	}
	c.pool = drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: c.maxCalls})
	return c
}

// Lease is a connection reserved for one call. Its holder must call Return.
type Lease struct {
	conn    *drpcconn.Conn
	client  *Client
	address string
	slot    chan struct{}
}

// Lease reserves a connection to address. An error means that no byte was sent:
// the address can't be reached, or the maximum number of calls to it are in
// flight.
func (c *Client) Lease(ctx context.Context, address string) (*Lease, error) {
	slot := c.slot(address)
	select {
	case slot <- struct{}{}:
	default:
		return nil, trace.LimitExceeded("%d calls to %s are in flight; try another target", c.maxCalls, address)
	}
	conn, found := c.pool.Take(address)
	if !found {
		dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: c.local}
		raw, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			<-slot
			return nil, trace.ConnectionProblem(err, "the process at %s can't be reached; check that it runs", address)
		}
		socket.LimitBuffers(raw)
		conn = drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
	}
	return &Lease{conn: conn, client: c, address: address, slot: slot}, nil
}

// Agent returns a client that makes agent calls over the connection.
func (l *Lease) Agent() DRPCAgentClient {
	return NewDRPCAgentClient(l.conn)
}

// Return ends the lease. The connection is kept for other calls if it is reusable
// and still open, and closed otherwise.
func (l *Lease) Return(reusable bool) {
	if reusable && !isClosed(l.conn.Closed()) {
		l.client.pool.Put(l.address, l.conn)
	} else {
		_ = l.conn.Close()
	}
	<-l.slot
}

// Close closes all idle connections.
func (c *Client) Close() error {
	return trace.Wrap(c.pool.Close())
}

func (c *Client) slot(address string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	slot, found := c.slots[address]
	if !found {
		slot = make(chan struct{}, c.maxCalls)
		c.slots[address] = slot
	}
	return slot
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}
