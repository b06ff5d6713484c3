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

// The platform's rule on the limits that servers name.
const (
	limitWindow     = 4 * time.Second
	limitSettle     = 3 * time.Second        // after a server first named its limit, until requests count
	limitSlack      = 500 * time.Millisecond // after a gateway was told, until its requests count
	limitOvershoot  = 1.5
	limitSlackCount = 5 // requests
)

// limitRecord checks the requests to a server that names a limit. Its owner locks it.
type limitRecord struct {
	rate     float64 // requests a second; 0 for no limit
	namedAt  time.Time
	told     map[string]time.Time // when the server first named the limit to each gateway, by IP
	arrivals []time.Time          // within limitWindow, of gateways that were told
}

func (l *limitRecord) set(rate float64) {
	*l = limitRecord{rate: rate, told: map[string]time.Time{}}
}

// check records a request from a gateway, adds the limit to the answer, and reports a
// violation if the server gets too many requests.
func (l *limitRecord) check(w *world, id, gatewayIP string, header http.Header) {
	if l.rate == 0 {
		return
	}
	now := time.Now()
	header.Set("Server-Limit", strconv.FormatFloat(l.rate, 'f', -1, 64))
	if l.namedAt.IsZero() {
		l.namedAt = now
	}
	told, heard := l.told[gatewayIP]
	if !heard || !w.runsSince(gatewayIP, told) {
		l.told[gatewayIP] = now
		return
	}
	if now.Sub(told) <= limitSlack || now.Sub(l.namedAt) <= limitSettle {
		return
	}
	for len(l.arrivals) > 0 && now.Sub(l.arrivals[0]) > limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	l.arrivals = append(l.arrivals, now)
	if allowed := limitOvershoot*l.rate*limitWindow.Seconds() + limitSlackCount; float64(len(l.arrivals)) > allowed {
		w.ledger.addViolation("LIMIT: request %s is number %d in %v at a server that takes %g a second, allowed %.1f", id, len(l.arrivals), limitWindow, l.rate, allowed)
	}
}

// limit has a server name a limit in its answers for duration.
func (s *server) limit(rate float64, duration time.Duration) {
	s.said.setLimit(rate)
	time.Sleep(duration)
	s.said.setLimit(0)
}

// TestTargetsOverTheirLimit guards against targets that get more requests than the limit
// that they name to all gateways together: one of a service, then all.
func TestTargetsOverTheirLimit(t *testing.T) {
	const phase = 8 * time.Second
	w := newWorld(t, firstNetwork+int(worldCount.Add(1)%networkCount), rand.New(rand.NewPCG(9, 2)))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calling sync.WaitGroup
	for i := range callers {
		calling.Go(func() { newCaller(w, fmt.Sprintf("c%d", i), uint64(i)).run(ctx) })
	}
	var limiting sync.WaitGroup
	for i, s := range w.servers {
		if i == 0 || i >= ranks {
			limiting.Go(func() { s.limit(3, phase) })
		}
	}
	time.Sleep(phase / 2)
	restart(&w.gateways[1].process, phase/20)
	limiting.Wait()
	time.Sleep(recoveryTime)
	served, sent := w.ledger.totals()
	w.stopGateways()
	cancel()
	calling.Wait()
	w.report(t, served, sent)
}
