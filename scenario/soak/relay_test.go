package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// relay forwards TCP connections and injects faults into them. There is one between
// each gateway and the store, and one in front of each server.
type relay struct {
	listener net.Listener
	to       string // address of the stand-in
	keepIP   bool   // dial from the IP of the incoming connection

	mu             sync.Mutex
	delay          time.Duration     // guarded by mu
	blockRequests  bool              // guarded by mu; hold back bytes to the stand-in
	blockResponses bool              // guarded by mu; hold back bytes from the stand-in
	conns          map[net.Conn]bool // guarded by mu
	lastFault      time.Time         // guarded by mu; when a fault last began or ended
}

func newRelay(address, to string, keepIP bool) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, to: to, keepIP: keepIP, conns: map[net.Conn]bool{}, lastFault: time.Now()}
	go r.run()
	return r, nil
}

func (r *relay) run() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *relay) serve(in net.Conn) {
	dialer := net.Dialer{Timeout: time.Second}
	if r.keepIP {
		dialer.LocalAddr = &net.TCPAddr{IP: in.RemoteAddr().(*net.TCPAddr).IP}
	}
	out, err := dialer.Dial("tcp", r.to)
	if err != nil {
		resetConn(in)
		return
	}
	r.mu.Lock()
	r.conns[in], r.conns[out] = true, true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.forward(out, in, func() bool { return r.blockRequests }) })
	both.Go(func() { r.forward(in, out, func() bool { return r.blockResponses }) })
	both.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, in)
	delete(r.conns, out)
}

// forward copies bytes in one direction until the connection ends. While blocked returns
// true, it holds bytes back and forwards them later. blocked is called with mu held.
func (r *relay) forward(to, from net.Conn, blocked func() bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for {
			r.mu.Lock()
			holds, delay := blocked(), r.delay
			r.mu.Unlock()
			if !holds {
				time.Sleep(delay)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if _, writeErr := to.Write(buffer[:n]); err == nil && writeErr == nil {
			continue
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		resetConn(to)
		resetConn(from)
		return
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// setFault changes the faults of the relay and notes the time.
func (r *relay) setFault(change func(*relay)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
	r.lastFault = time.Now()
}

// undisturbed reports whether the relay had no fault from settleTime before moment
// until now.
func (r *relay) undisturbed(moment time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay == 0 && !r.blockRequests && !r.blockResponses && r.lastFault.Add(settleTime).Before(moment)
}

// faultFree reports whether no fault began or ended after moment, and none lasts.
func (r *relay) faultFree(moment time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay == 0 && !r.blockRequests && !r.blockResponses && r.lastFault.Before(moment)
}

// reset resets all open connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFault = time.Now()
	for conn := range r.conns {
		resetConn(conn)
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.reset()
}
