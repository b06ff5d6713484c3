package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	stayTime       = 90 * time.Second // the crowd leaves by itself after it
	placeTimeout   = 15 * time.Second // for all members to send their first bytes
	holdTime       = 3 * time.Second  // from then until the other callers' requests, for the process to read the bytes
	returnPause    = time.Second      // of a member whose connection was closed
	maxReturns     = 60               // of a member
	maxSentBytes   = 16 << 20         // by a member on one connection
	connectTimeout = 5 * time.Second
	crowdAddresses = 4 // source addresses of a crowd
)

// crowd is a bounded number of callers that connect to the addresses of a door and send a
// flow. A member whose connection is closed comes back.
type crowd struct {
	door    door
	first   []byte // of the flow; one copy for all members
	next    []byte
	pause   time.Duration
	process *process
	ctx     context.Context
	leave   context.CancelFunc
	members sync.WaitGroup
	placed  sync.WaitGroup // counts members that have not sent their first bytes
	arrived chan struct{}  // closed once all members have sent their first bytes

	closed atomic.Int64 // connections that the process closed
}

// newCrowd connects a crowd to a process and waits until its first bytes are sent.
func newCrowd(t *testing.T, p *process, c crowdCase, d door) *crowd {
	t.Helper()
	f := c.flow(d)
	w := &crowd{door: d, first: []byte(f.first), next: []byte(f.next), pause: f.pause, process: p, arrived: make(chan struct{})}
	w.ctx, w.leave = context.WithTimeout(t.Context(), stayTime)
	t.Cleanup(func() { _ = w.Close() })
	for n := range c.size {
		m := &member{crowd: w, number: n}
		w.placed.Add(1)
		w.members.Go(m.run)
	}
	w.members.Go(w.run)
	w.members.Go(w.loop)
	select {
	case <-w.arrived:
	case <-time.After(placeTimeout):
		t.Logf("not all %d members of the crowd have sent their first bytes after %s", c.size, placeTimeout)
	}
	pause(w.ctx, holdTime)
	return w
}

// run makes the crowd leave if the process took far too much memory.
func (w *crowd) run() {
	for w.ctx.Err() == nil && !w.process.abandoned() {
		pause(w.ctx, sampleInterval)
	}
	w.leave()
}

// loop waits for the first bytes of all members.
func (w *crowd) loop() {
	w.placed.Wait()
	close(w.arrived)
}

// Close makes the crowd leave and waits until all connections are closed.
func (w *crowd) Close() error {
	w.leave()
	w.members.Wait()
	return nil
}

// member is one caller of a crowd.
type member struct {
	crowd  *crowd
	number int
	placed sync.Once
}

// run connects until the crowd leaves.
func (m *member) run() {
	defer m.place()
	for range maxReturns {
		m.connect()
		if m.crowd.ctx.Err() != nil {
			return
		}
		m.crowd.closed.Add(1)
		pause(m.crowd.ctx, returnPause)
	}
	<-m.crowd.ctx.Done()
}

func (m *member) place() { m.placed.Do(m.crowd.placed.Done) }

// connect sends the flow on one connection and returns when it is closed.
func (m *member) connect() {
	defer m.place()
	ctx := m.crowd.ctx
	dialer := net.Dialer{Timeout: connectTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip(100 + m.number%crowdAddresses))}}
	conn, err := dialer.DialContext(ctx, "tcp", m.crowd.door.addresses[m.number%len(m.crowd.door.addresses)])
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	var sending sync.WaitGroup
	defer sending.Wait()
	sending.Go(func() { m.send(conn) })
	_, _ = io.Copy(io.Discard, conn) // ends when the process or the crowd closes the connection
	conn.Close()
}

func (m *member) send(conn net.Conn) {
	w := m.crowd
	_, err := conn.Write(w.first)
	m.place()
	for sent := len(w.first); err == nil && len(w.next) > 0 && sent < maxSentBytes; sent += len(w.next) {
		_, err = conn.Write(w.next)
		if w.pause > 0 {
			pause(w.ctx, w.pause)
		}
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// ip returns a loopback address of this run of the package.
func ip(host int) string { return fmt.Sprintf("127.240.%d.%d", network, host) }
