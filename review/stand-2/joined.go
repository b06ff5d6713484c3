package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	joinedRequests = 300
	joinedFailure  = 96 << 10 // bytes of the body of a failure
	joinedEach     = 25       // one of so many requests fails at its server
	joinedCut      = 50       // servers break off one of so many answers
	joinedEvents   = 12       // of a stream
)

// joinedServer is a server of streams that may be resumed. Some requests fail there, with a long
// body in chunks, and it breaks these answers off.
type joinedServer struct {
	world    *World
	id       string
	listener net.Listener
	count    *atomic.Int64 // requests at all servers
}

func (s *joinedServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *joinedServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if request.Header.Get("Expect-Instance") != s.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
			continue
		}
		if !s.answer(conn, id, request) {
			return
		}
	}
}

// answer answers a request. It reports whether the connection may be used again.
func (s *joinedServer) answer(conn net.Conn, id string, request *http.Request) bool {
	if number := s.count.Add(1); number%joinedEach == 0 && request.Header.Get("Last-Event-Id") == "" {
		failure := bytes.Repeat([]byte("the model failed\n"), joinedFailure/17)
		fmt.Fprintf(conn, "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s.%s\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n", id, id, s.id)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(failure)-1000, failure[:len(failure)-1000])
		if s.world.Trouble && number%joinedCut == 0 {
			s.world.Log("server %s runs %s, fails, and breaks its answer off", s.id, id)
			return false
		}
		fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", 1000, failure[len(failure)-1000:])
		return true
	}
	from, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id, s.id)
	for n := from + 1; n <= joinedEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	fmt.Fprint(conn, "0\r\n\r\n")
	return true
}

// caseJoined lets servers break off failures with long bodies on a route whose streams may be resumed.
func caseJoined(w *World) (int, error) {
	store, err := NewStore(w.IP())
	if err != nil {
		return 0, err
	}
	store.Put("op/config", configuration(3, map[string]any{"path_prefix": "/lohu930/", "kind": "stream", "gap_goal_ms": 120, "resumable": true}, nil))
	var count atomic.Int64
	for i := range 3 {
		l, err := net.Listen("tcp", w.IP()+":0")
		if err != nil {
			return 0, err
		}
		s := &joinedServer{world: w, id: fmt.Sprintf("i-%04x", 0x7f3a+i), listener: l, count: &count}
		go s.run()
		store.Put("servers/"+s.id, entry(l.Addr().String(), 12, time.Now().UnixMilli()))
	}
	gateways, err := w.StartGateways(store, 2)
	if err != nil {
		return 0, err
	}
	whole, failures, cut, joined, others := 0, 0, 0, 0, 0
	for i := range joinedRequests {
		r := Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Method: http.MethodPost, Path: "/lohu930/2f", Body: []byte("{}"), Deadline: 8 * time.Second}
		a := Send(gateways[i%len(gateways)].Front, r)
		pieces := bytes.Count(a.Body, []byte("data: piece"))
		switch {
		case a.Complete && a.Status == http.StatusOK && pieces == joinedEvents:
			whole++
		case a.Complete && a.Status == http.StatusInternalServerError && pieces == 0 && len(a.Body) == joinedFailure/17*17:
			failures++
		case !a.Complete || a.Status == http.StatusBadGateway:
			cut++
			w.Log("client got %s for %s", a, r.ID)
		case a.Status == http.StatusInternalServerError:
			joined++
			w.Log("BROKEN: the answer to %s that its server broke off looks complete, with %d pieces of another run in it: %s", r.ID, pieces, a)
		default:
			others++
			w.Log("client got %s with %d pieces for %s", a, pieces, r.ID)
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.Log("%d requests: %d whole streams, %d whole failures, %d broken off, %d others, %d that look complete and aren't",
		joinedRequests, whole, failures, cut, others, joined)
	if joined > 0 {
		return broken, nil
	}
	if whole < joinedRequests/2 {
		return 0, fmt.Errorf("only %d of %d requests were answered", whole, joinedRequests)
	}
	return held, nil
}
