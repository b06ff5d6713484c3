package main

import (
	"net"
	"sync"
)

// Proxy is the path to a server. It can be cut for some of the machines that use it: bytes and
// ends of connections that are under way arrive once it is whole again.
type Proxy struct {
	Address string

	server string

	mu    sync.Mutex
	cut   map[string]bool // IPs of machines
	whole *sync.Cond
}

// NewProxy starts a path from an address to a server.
func NewProxy(ip, server string) (*Proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), server: server, cut: map[string]bool{}}
	p.whole = sync.NewCond(&p.mu)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.connect(conn)
		}
	}()
	return p, nil
}

// Cut cuts the path for some machines, or for none.
func (p *Proxy) Cut(ips ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.cut)
	for _, ip := range ips {
		p.cut[ip] = true
	}
	p.whole.Broadcast()
}

// await waits until the path is whole for a machine.
func (p *Proxy) await(ip string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut[ip] {
		p.whole.Wait()
	}
}

func (p *Proxy) connect(conn net.Conn) {
	ip, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	p.await(ip)
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		_ = conn.(*net.TCPConn).SetLinger(0) // no process listens
		_ = conn.Close()
		return
	}
	go p.pass(ip, conn, server)
	p.pass(ip, server, conn)
}

// pass passes bytes on in one direction, and the end of the connection.
func (p *Proxy) pass(ip string, from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.await(ip)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
