package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots           = 8 // requests that a server runs at once
	eventsPerStream = 10
	eventGap        = 15 * time.Millisecond
)

// server stands in for one of the platform's servers.
type server struct {
	world   *world
	service string
	zone    string
	address string // address of its relay, as registered in the store
	listen  string // address that it listens on
	rank    int    // -1 outside the group
	index   int    // in world.servers
	said    statements

	refusals refusing

	replacing sync.Mutex // held while the incarnation is replaced

	mu            sync.Mutex
	id            string       // guarded by mu; of the incarnation
	serving       *http.Server // guarded by mu; nil while stopped
	listener      net.Listener // guarded by mu; of serving
	drainingSince time.Time    // guarded by mu; when the store acknowledged the drain; zero if not draining
	running       int          // guarded by mu; requests in progress
	slow          bool         // guarded by mu; each request takes 100 ms more
	flaky         bool         // guarded by mu; about half of the requests fail with status 500
}

// start starts a new incarnation of the server, with its own ID, and registers it as
// ready.
func (s *server) start(id string) error {
	if err := s.listenAs(id); err != nil {
		return err
	}
	s.register("ready")
	return nil
}

// listenAs starts a new incarnation of the server without registering it.
func (s *server) listenAs(id string) error {
	listener, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	serving := &http.Server{Handler: s}
	s.mu.Lock()
	s.id, s.serving, s.listener, s.drainingSince, s.running = id, serving, listener, time.Time{}, 0
	s.mu.Unlock()
	s.said.reset()
	go func() { _ = serving.Serve(listener) }()
	return nil
}

func (s *server) register(state string) {
	s.world.store.put("servers/"+s.currentID(), map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "slots": slots, "state": state, "born": time.Now().UnixMilli(),
	})
}

func (s *server) currentID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// process identifies the incarnation that serves; nil while there is none.
func (s *server) process() *http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving
}

// drain registers the server as draining and says so in its answers. It goes on serving
// until stop.
func (s *server) drain() {
	s.said.set(leaves)
	s.register("draining")
	s.mu.Lock()
	s.drainingSince = time.Now()
	s.mu.Unlock()
}

// stop closes the server and all its connections. A rank's stop crashes the group.
func (s *server) stop() {
	s.mu.Lock()
	serving, listener := s.serving, s.listener
	s.serving = nil
	s.mu.Unlock()
	if serving != nil {
		_ = listener.Close() // serving closes it later if it has only just started
		_ = serving.Close()
	}
	if s.rank >= 0 {
		s.world.group.crash()
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	clientIP, _, _ := strings.Cut(r.RemoteAddr, ":")
	ownIP, _, _ := strings.Cut(s.address, ":")
	switch r.URL.Path {
	case "/hornbeamtray/report":
		if s.rank >= 0 {
			s.world.group.report(w, s.rank, clientIP == ownIP)
		}
	case "/hornbeamtray/picked":
		if s.rank >= 0 {
			s.world.group.picked(w, s.rank, r.FormValue("lists") != "")
		}
	case "/hornbeamtray/order":
		if s.rank >= 0 {
			s.world.group.order(w, r, s.rank)
		}
	default:
		s.serve(w, r, clientIP)
	}
}

// serve runs a request, or answers with Not-Run if the request expects another
// incarnation or all slots are in use.
func (s *server) serve(w http.ResponseWriter, r *http.Request, clientIP string) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	s.mu.Lock()
	expected, drainingSince, slow, flaky := r.Header.Get("Expect-Instance") == s.id, s.drainingSince, s.slow, s.flaky
	full := s.running >= slots
	if expected && !full {
		s.running++
	}
	s.mu.Unlock()
	refuses := expected && s.said.check(s.world, id, clientIP, w.Header())
	if refuses && !full {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}
	if !expected && s.refuseWithCopy(w, id, clientIP) {
		return
	}
	if !expected || full || refuses {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusMisdirectedRequest}[expected])
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	n := s.world.ledger.recordRun(id, r.Header.Get("Tenant"), s, clientIP, drainingSince)
	if slow {
		time.Sleep(100 * time.Millisecond)
	}
	if flaky && n%2 == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.refusals.refuseRun(w, n) {
		return
	}
	w.Header().Set("Server-Stamp", s.address+"."+id)
	if strings.HasPrefix(r.URL.Path, "/flow/") {
		s.stream(w, r, id, clientIP)
		return
	}
	time.Sleep(5 * time.Millisecond)
	_, _ = fmt.Fprint(w, answerTo(id, r.Header.Get("Tenant")))
}

// answerTo returns the body of the answer to a request.
func answerTo(id, tenant string) string { return strings.Repeat(id+" for "+tenant+"\n", 20) }

// stream sends the events that follow the Last-Event-Id of the request. It crashes the
// server after the head if the prompt has crashingPart.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id, gatewayIP string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	if strings.Contains(r.Header.Get("Prompt-Prefix"), crashingPart+":") {
		_ = control.Flush()
		s.world.crashRecord.recordCrash(s, gatewayIP)
		_ = wait(r.Context(), crashDowntime) // until the connection is closed
		return
	}
	for n := after + 1; n <= eventsPerStream; n++ {
		if wait(r.Context(), eventGap) != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n)
		_ = control.Flush()
	}
}

// wait waits for d, or returns the error of ctx if that ends first.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
