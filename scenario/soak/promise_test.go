package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	pauseSlack      = 500 * time.Millisecond // after a server asked for a pause, until requests count
	maxInPause      = 2                      // requests that may reach a server in a pause
	maxCrashesAfter = 3                      // requests with the crashing part that may reach servers once the gateways know it
	learnTime       = time.Second            // after a crash, until all gateways know the crashing part
	crashDowntime   = time.Second            // of a server that crashed
	crashingPart    = "dead"
)

// behavior is what a server says of itself in its answers.
type behavior int

const (
	quiet behavior = iota
	leaves
	liesAboutLeaving // in every second answer
	pauses           // refuses each request and asks for a pause of pauseLength
)

const pauseLength = 1200 * time.Millisecond

// statements records what an incarnation of a server said to each gateway, and checks
// that the gateways act on it.
type statements struct {
	mu      sync.Mutex
	mode    behavior              // guarded by mu
	answers int                   // guarded by mu
	heard   map[string]*statement // by gateway IP; guarded by mu
	limit   limitRecord           // guarded by mu
}

// statement is what a server said to one gateway.
type statement struct {
	leftAt      time.Time // first answer that said so; zero for none
	pausedAt    time.Time // first answer that asked for the present pause
	pausedUntil time.Time
	inPause     int
}

func (s *statements) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.heard = quiet, map[string]*statement{}
	s.limit.set(0)
}

func (s *statements) setLimit(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit.set(rate)
}

func (s *statements) set(mode behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// check checks a request that reached the server from a gateway, and adds the headers of
// the server's statements to its answer. It reports whether the server refuses the request.
func (s *statements) check(w *world, id, gatewayIP string, header http.Header) (refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	told := s.heard[gatewayIP]
	if told == nil {
		told = &statement{}
		s.heard[gatewayIP] = told
	}
	sent := w.ledger.sentAt(id)
	if !told.leftAt.IsZero() && sent.Sub(told.leftAt) > drainTime && w.runsSince(gatewayIP, told.leftAt) {
		w.ledger.addViolation("DRAIN: request %s, sent %v after the server told gateway %s that it leaves, reaches it", id, sent.Sub(told.leftAt), gatewayIP)
	}
	if now.Before(told.pausedUntil) && now.Sub(told.pausedAt) > pauseSlack && w.runsSince(gatewayIP, told.pausedAt) {
		if told.inPause++; told.inPause > maxInPause {
			w.ledger.addViolation("BUDGET: request %s is number %d in a pause that the server asked gateway %s for", id, told.inPause, gatewayIP)
		}
	}
	s.limit.check(w, id, gatewayIP, header)
	s.answers++
	switch s.mode {
	case leaves:
		header.Set("Server-Leaving", "1")
		if told.leftAt.IsZero() {
			told.leftAt = now
		}
	case liesAboutLeaving:
		if s.answers%2 == 0 {
			header.Set("Server-Leaving", "1")
		}
	case pauses:
		header.Set("Retry-After", strconv.FormatFloat(pauseLength.Seconds(), 'f', 3, 64))
		if now.After(told.pausedUntil) {
			told.pausedAt, told.inPause = now, 0
		}
		told.pausedUntil = now.Add(pauseLength)
		return true
	}
	return false
}

// runsSince reports whether the gateway at an IP has run without a restart, a pause or a
// fault of the links to servers since a time.
func (w *world) runsSince(ip string, since time.Time) bool {
	for _, l := range w.links {
		if !l.faultFree(since) {
			return false
		}
	}
	return w.gatewayRunsSince(ip, since)
}

// gatewayRunsSince reports whether the gateway at an IP has run without a restart or a
// pause since a time.
func (w *world) gatewayRunsSince(ip string, since time.Time) bool {
	for _, g := range w.gateways {
		if g.ip == ip {
			return g.faultFree(since)
		}
	}
	return false
}

// crashRecord records the crashes of servers by requests that hold crashingPart.
type crashRecord struct {
	mu      sync.Mutex
	sending bool      // guarded by mu; callers send such requests
	firstAt time.Time // guarded by mu; first crash that no fault of a link hid from the gateways
	after   int       // guarded by mu; requests that came later than learnTime after it
}

func (d *crashRecord) set(sending bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sending = sending
}

func (d *crashRecord) active() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sending
}

// crashes returns the time of the first crash that the gateways could see, and how many
// requests with the part reached servers later than learnTime after it.
func (d *crashRecord) crashes() (first time.Time, after int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.firstAt, d.after
}

// recordCrash records a request with crashingPart that reached a server from a gateway,
// and crashes the server.
func (d *crashRecord) recordCrash(s *server, gatewayIP string) {
	d.mu.Lock()
	switch now := time.Now(); {
	case d.firstAt.IsZero() && s.world.runsSince(gatewayIP, now.Add(-learnTime)):
		d.firstAt = now
	case !d.firstAt.IsZero() && now.Sub(d.firstAt) > learnTime && s.world.gatewayRunsSince(gatewayIP, now.Add(-learnTime)):
		if d.after++; d.after > maxCrashesAfter {
			s.world.ledger.addViolation("BUDGET: %d requests with a part that crashes servers came later than %v after the first crash", d.after, learnTime)
		}
	}
	d.mu.Unlock()
	s.world.crashing.Go(func() { s.world.replace(faultParams{server: s.index, duration: crashDowntime}, false) })
}

// TestCrashingPart has callers send requests that crash servers while gateways are killed
// and replaced one after the other, and no other fault hides the crashes.
func TestCrashingPart(t *testing.T) {
	const phase = 1500 * time.Millisecond // between the steps of the run
	w := newWorld(t, firstNetwork+int(worldCount.Add(1)%networkCount), rand.New(rand.NewPCG(7, 2)))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calling sync.WaitGroup
	for i := range callers {
		calling.Go(func() { newCaller(w, fmt.Sprintf("c%d", i), uint64(i)).run(ctx) })
	}
	time.Sleep(phase)
	w.crashRecord.set(true)
	for _, g := range append(w.gateways[1:], w.gateways[1:]...) {
		time.Sleep(phase)
		restart(&g.process, phase/5)
	}
	time.Sleep(phase)
	w.crashRecord.set(false)
	served, sent := w.ledger.totals()
	first, after := w.crashRecord.crashes()
	t.Logf("first crash %v after the start, %d requests with the part later", first.Sub(w.started), after)
	if first.IsZero() {
		t.Errorf("no request crashed a server")
	}
	w.crashing.Wait()
	w.stopGateways()
	cancel()
	calling.Wait()
	w.report(t, served, sent)
}
