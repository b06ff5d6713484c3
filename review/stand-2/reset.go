package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	resetRequests = 300
	resetClients  = 4         // at a time
	resetBody     = 512 << 10 // bytes of a request
	resetAnswer   = 24 << 10  // bytes of a whole answer
	resetEach     = 50        // a server breaks off one of so many answers
)

// resetServer is a server that answers while it reads a long body. Its answers have no length and
// end with their connections. It breaks some of them off.
type resetServer struct {
	world    *World
	id       string
	listener net.Listener
	broken   sync.Map // by request
	count    atomic.Int64
}

func (s *resetServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *resetServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	id := request.Header.Get("Request-Id")
	if request.Header.Get("Expect-Instance") != s.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
		return
	}
	number := s.count.Add(1)
	buffer := make([]byte, 32<<10)
	read, _ := reader.Read(buffer)
	answer := bytes.Repeat([]byte("0123456789abcdef"), resetAnswer/16)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", id, id)
	_, _ = conn.Write(answer[:resetAnswer/2])
	if s.world.Trouble && number%resetEach == 0 {
		time.Sleep(10 * time.Millisecond)
		s.broken.Store(id, true)
		s.world.Log("server %s runs %s, and breaks its answer off with a reset after %d of %d bytes", s.id, id, resetAnswer/2, resetAnswer)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	for read < int(request.ContentLength) {
		n, err := reader.Read(buffer)
		if err != nil {
			return
		}
		read += n
	}
	_, _ = conn.Write(answer[resetAnswer/2:])
}

// caseReset sends requests with long bodies whose answers end with their connections, of which
// some are reset on the way.
func caseReset(w *World) (int, error) {
	store, err := NewStore(w.IP())
	if err != nil {
		return 0, err
	}
	store.Put("op/config", configuration(3, map[string]any{"path_prefix": "/puxa403/", "kind": "non_idempotent", "max_attempts": 1}, nil))
	var servers []*resetServer
	for i := range 3 {
		l, err := net.Listen("tcp", w.IP()+":0")
		if err != nil {
			return 0, err
		}
		s := &resetServer{world: w, id: fmt.Sprintf("i-%04x", 0x7f3a+i), listener: l}
		go s.run()
		servers = append(servers, s)
		store.Put("servers/"+s.id, entry(l.Addr().String(), 6, time.Now().UnixMilli()))
	}
	gateways, err := w.StartGateways(store, 2)
	if err != nil {
		return 0, err
	}
	var whole, failed, truncated, cut atomic.Int64
	var clients sync.WaitGroup
	for n := range resetClients {
		clients.Go(func() {
			for i := n; i < resetRequests; i += resetClients {
				r := Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Method: http.MethodPost, Path: "/puxa403/2f", Body: bytes.Repeat([]byte{'x'}, resetBody), Deadline: 8 * time.Second}
				a := Send(gateways[i%len(gateways)].Front, r)
				wasBroken := false
				for _, s := range servers {
					_, found := s.broken.Load(r.ID)
					wasBroken = wasBroken || found
				}
				success := a.Complete && a.Status == http.StatusOK
				switch {
				case success && len(a.Body) == resetAnswer:
					whole.Add(1)
				case success:
					truncated.Add(1)
					w.Log("BROKEN: client got a success for %s without the server's whole body: %s", r.ID, a)
				case wasBroken:
					cut.Add(1)
					w.Log("client got %s for %s", a, r.ID)
				default:
					failed.Add(1)
					w.Log("client got %s for %s", a, r.ID)
				}
			}
		})
	}
	clients.Wait()
	w.Log("%d requests: %d whole, %d of those broken off ended as failures, %d other failures, %d successes that aren't whole",
		resetRequests, whole.Load(), cut.Load(), failed.Load(), truncated.Load())
	if truncated.Load() > 0 {
		return broken, nil
	}
	if whole.Load() < resetRequests/2 {
		return 0, fmt.Errorf("only %d of %d requests were answered", whole.Load(), resetRequests)
	}
	return held, nil
}
