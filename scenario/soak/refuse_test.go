package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

const listedAfter = 30 * time.Millisecond // from the entry of a server's new ID until gateways know it

// refusing is how a server refuses requests in ways that a gateway must not take for "not
// run". The zero value refuses truthfully.
type refusing struct {
	mu      sync.Mutex
	runs    bool   // guarded by mu; about half of the requests are refused after they ran
	copies  bool   // guarded by mu; a copy of each refusal for another ID comes late
	refused int    // guarded by mu; requests refused after they ran
	copied  int    // guarded by mu; late copies sent
	listing func() // guarded by mu; lists the present ID, which is not listed yet; nil if it is
}

func (r *refusing) set(change func(*refusing)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

// list lists the present ID if it is not listed yet.
func (r *refusing) list() {
	r.mu.Lock()
	listing := r.listing
	r.listing = nil
	r.mu.Unlock()
	if listing != nil {
		listing()
		time.Sleep(listedAfter)
	}
}

// refuseRun refuses a request that ran, if the server does that now. n is the number of
// requests so far.
func (r *refusing) refuseRun(w http.ResponseWriter, n int) bool {
	r.mu.Lock()
	refuses := r.runs && n%2 == 0
	if refuses {
		r.refused++
	}
	r.mu.Unlock()
	if refuses {
		w.Header().Set("Server-Stamp", "x")
		w.WriteHeader([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}[n%3])
	}
	return refuses
}

// refuseWithCopy refuses a request that expects another ID, and sends a copy of the refusal
// ahead of the answer to the next request on the connection. It reports whether it did.
func (s *server) refuseWithCopy(w http.ResponseWriter, id, clientIP string) bool {
	s.refusals.mu.Lock()
	copies := s.refusals.copies
	s.refusals.mu.Unlock()
	if !copies {
		return false
	}
	s.refusals.list()
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	process := s.process()
	refusal := fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
	_, _ = io.WriteString(conn, refusal)
	next, err := http.ReadRequest(buffered.Reader)
	if err != nil || s.process() != process || next.Header.Get("Expect-Instance") != s.currentID() {
		return true
	}
	_, _ = io.Copy(io.Discard, next.Body)
	nextID, tenant := next.Header.Get("Request-Id"), next.Header.Get("Tenant")
	s.refusals.set(func(r *refusing) { r.copied++ })
	s.world.ledger.recordRun(nextID, tenant, s, clientIP, time.Time{})
	text := answerTo(nextID, tenant)
	_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: x\r\nContent-Length: %d\r\n\r\n%s", refusal, nextID, len(text), text)
	return true
}

// refuse has a server refuse requests that it ran for duration.
func (s *server) refuse(duration time.Duration) {
	s.refusals.set(func(r *refusing) { r.runs = true })
	time.Sleep(duration)
	s.refusals.set(func(r *refusing) { r.runs = false })
}

// restartBesideEntry restarts a plain server at its address under another ID, while the
// store still lists the former one. The new ID is listed at the first refusal, or after duration.
func (w *world) restartBesideEntry(index int, duration time.Duration) {
	s := w.servers[index]
	if s.rank >= 0 {
		return
	}
	s.replacing.Lock()
	defer s.replacing.Unlock()
	former := s.currentID()
	s.stop()
	if err := s.listenAs(former + "+"); err != nil {
		w.ledger.addViolation("stand-in server did not start: %v", err)
		return
	}
	s.refusals.set(func(r *refusing) { r.copies, r.listing = true, func() { s.register("ready") } })
	time.Sleep(duration)
	s.refusals.list()
	w.store.put("servers/"+former, nil)
	time.Sleep(duration)
	s.refusals.set(func(r *refusing) { r.copies = false })
}

// refusedRuns returns how many requests servers have refused after they ran.
func (w *world) refusedRuns() int {
	refused := 0
	for _, s := range w.servers {
		s.refusals.set(func(r *refusing) { refused += r.refused })
	}
	return refused
}

// lateCopies returns how many late copies of refusals servers have sent.
func (w *world) lateCopies() int {
	copied := 0
	for _, s := range w.servers {
		s.refusals.set(func(r *refusing) { copied += r.copied })
	}
	return copied
}

// TestRefusalsThatProveNothing has plain servers refuse requests that they ran, and restart
// beside their former entries with late copies of refusals, again and again, and no other fault.
func TestRefusalsThatProveNothing(t *testing.T) {
	const (
		rounds, round = 16, 250 * time.Millisecond
		fewRefusals   = 8                // after a run
		fewCopies     = 8                // late ones
		maxWait       = 20 * time.Second // for each; gateways send little to servers that failed
	)
	w := newWorld(t, firstNetwork+int(worldCount.Add(1)%networkCount), rand.New(rand.NewPCG(9, 2)))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calling sync.WaitGroup
	for i := range 3 * callers {
		calling.Go(func() { newCaller(w, fmt.Sprintf("c%d", i), uint64(i)).run(ctx) })
	}
	for end, n := time.Now().Add(maxWait), 0; n < rounds || w.lateCopies() < fewCopies && time.Now().Before(end); n++ {
		var restarting sync.WaitGroup
		for i, s := range w.servers {
			if s.rank < 0 {
				restarting.Go(func() { w.restartBesideEntry(i, round) })
			}
		}
		restarting.Wait()
	}
	for end := time.Now().Add(maxWait); w.refusedRuns() < fewRefusals && time.Now().Before(end); {
		var refusing sync.WaitGroup
		for _, s := range w.servers {
			if s.rank < 0 {
				refusing.Go(func() { s.refuse(round) })
			}
		}
		refusing.Wait()
	}
	served, sent := w.ledger.totals()
	w.stopGateways()
	cancel()
	calling.Wait()
	refused, copied := w.refusedRuns(), w.lateCopies()
	t.Logf("%d requests refused after they ran, %d late copies of refusals", refused, copied)
	if refused == 0 || copied == 0 {
		t.Error("no request met what this test is about")
	}
	w.report(t, served, sent)
}
