package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// relay passes connections on and harms them: it stands before every stand-in.
type relay struct {
	listener net.Listener
	to       string
	same     bool // connections to the stand-in come from their caller's IP

	mu     sync.Mutex
	delay  time.Duration     // guarded by mu
	ask    bool              // guarded by mu; nothing passes to the stand-in
	answer bool              // guarded by mu; nothing passes back
	conns  map[net.Conn]bool // guarded by mu
	harmed time.Time         // guarded by mu; when that last changed
}

func newRelay(address, to string, same bool) (*relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, to: to, same: same, conns: map[net.Conn]bool{}, harmed: time.Now()}
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
	if r.same {
		dialer.LocalAddr = &net.TCPAddr{IP: in.RemoteAddr().(*net.TCPAddr).IP}
	}
	out, err := dialer.Dial("tcp", r.to)
	if err != nil {
		abort(in)
		return
	}
	r.mu.Lock()
	r.conns[in], r.conns[out] = true, true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.pass(out, in, func() bool { return r.ask }) })
	both.Go(func() { r.pass(in, out, func() bool { return r.answer }) })
	both.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, in)
	delete(r.conns, out)
}

// pass copies bytes one way until an end; what is silenced waits.
func (r *relay) pass(to, from net.Conn, silenced func() bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for {
			r.mu.Lock()
			silent, delay := silenced(), r.delay
			r.mu.Unlock()
			if !silent {
				time.Sleep(delay)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if _, failed := to.Write(buffer[:n]); err == nil && failed == nil {
			continue
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		abort(to)
		abort(from)
		return
	}
}

// abort resets a connection.
func abort(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func (r *relay) harm(change func(*relay)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
	r.harmed = time.Now()
}

// calm reports whether there was no harm for some time before a moment, nor since.
func (r *relay) calm(moment time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay == 0 && !r.ask && !r.answer && r.harmed.Add(settleTime).Before(moment)
}

func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.harmed = time.Now()
	for conn := range r.conns {
		abort(conn)
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.reset()
}
