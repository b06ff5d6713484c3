package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// Time limits of the checks. The platform's documentation sets them.
const (
	revokeTime = 3 * time.Second // from the revocation of a key until no request sent with it may run
	drainTime  = 3 * time.Second // from the start of a drain until no request may reach the server
	settleTime = 4 * time.Second // after a fault of a process, link or store, until the checks that depend on it apply again
)

// request is one request of a caller and what is known about it.
type request struct {
	sent       time.Time
	tenant     string
	atMostOnce bool // the request must not run twice
	notRun     bool // the caller got an answer which says that the request did not run
	runs       int
}

// ledger records every request and every violation of a promise.
type ledger struct {
	world *world

	mu         sync.Mutex
	requests   map[string]*request  // by ID; guarded by mu
	revokedAt  map[string]time.Time // when each tenant's key was revoked; guarded by mu
	violations []string             // guarded by mu
	served     int                  // guarded by mu; requests answered with status 200
	sent       int                  // guarded by mu; requests sent
	sentAfter  int                  // guarded by mu; requests sent with a key after it was revoked
}

func newLedger(w *world) *ledger {
	return &ledger{world: w, requests: map[string]*request{}, revokedAt: map[string]time.Time{}}
}

// recordSent records that a caller is about to send a request.
func (l *ledger) recordSent(id, tenant string, atMostOnce bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = &request{sent: time.Now(), tenant: tenant, atMostOnce: atMostOnce}
	l.sent++
	if _, revoked := l.revokedAt[tenant]; revoked {
		l.sentAfter++
	}
}

// sentAt returns when a request was sent, or the zero time if no caller sent it.
func (l *ledger) sentAt(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, known := l.requests[id]; known {
		return r.sent
	}
	return time.Time{}
}

// addViolation records a violation with the time since the start of the run.
func (l *ledger) addViolation(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolationLocked(format, values...)
}

// addViolationLocked is addViolation for callers that hold mu.
func (l *ledger) addViolationLocked(format string, values ...any) {
	l.violations = append(l.violations, fmt.Sprintf("%.3f s: ", time.Since(l.world.started).Seconds())+fmt.Sprintf(format, values...))
}

// recordRun records that server s runs a request which came from the gateway at
// gatewayIP, and checks that the request may run. drainingSince is when s began to
// drain, or zero. recordRun returns the number of requests sent so far, or 1 for a
// request that no caller sent.
func (l *ledger) recordRun(id, tenant string, s *server, gatewayIP string, drainingSince time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r, known := l.requests[id]
	if !known {
		l.addViolationLocked("UNASKED: request %s runs, but no caller sent it", id)
		return 1
	}
	r.runs++
	if tenant != r.tenant {
		l.addViolationLocked("UNASKED: request %s runs for tenant %q, want %q", id, tenant, r.tenant)
	}
	if r.atMostOnce && r.runs > 1 {
		l.addViolationLocked("TWICE: request %s ran %d times", id, r.runs)
	}
	if r.notRun && r.atMostOnce {
		l.addViolationLocked("REFUSED: request %s runs after its caller got the answer that it did not run", id)
	}
	if at, revoked := l.revokedAt[r.tenant]; revoked && r.sent.Sub(at) > revokeTime {
		l.addViolationLocked("CONFIG: request %s, sent %v after its key was revoked, runs", id, r.sent.Sub(at))
	}
	if !drainingSince.IsZero() && now.Sub(drainingSince) > drainTime && l.world.upToDate(gatewayIP, drainingSince) {
		l.addViolationLocked("DRAIN: request %s reaches server %s from gateway %s %v after the server began to drain", id, s.address, gatewayIP, now.Sub(drainingSince))
	}
	return len(l.requests)
}

// recordOutcome records how a request ended at its caller: whether the answer says that
// the request did not run, and whether it has status 200.
func (l *ledger) recordOutcome(id string, notRun, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	r.notRun = r.notRun || notRun
	if notRun && r.atMostOnce && r.runs > 0 {
		l.addViolationLocked("REFUSED: request %s was refused as not run, but it has run", id)
	}
	if served {
		l.served++
	}
}

// totals returns the number of requests served and sent so far.
func (l *ledger) totals() (served, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served, l.sent
}

// revokedTotal returns the number of requests sent so far with a key that had been revoked.
func (l *ledger) revokedTotal() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sentAfter
}

// recovered reports whether enough of the requests that were sent were served: half of all.
// About a third have the key of the extra tenant, drawn at random. If it has been revoked, they
// must get status 401, and a draw of half of the requests says nothing against the gateways. So
// fewer than half of all suffice if nearly all requests with valid keys were served.
func recovered(served, sent, revoked int) bool {
	return 2*served >= sent || served > 0 && 10*served >= 9*(sent-revoked)
}

// TestRecovered guards against a check that passes although requests with valid keys were
// refused, or that fails because many requests happened to have the revoked key.
func TestRecovered(t *testing.T) {
	tests := []struct {
		name                  string
		served, sent, revoked int
		want                  bool
	}{
		{"half of all", 50, 100, 0, true},
		{"less than half", 49, 100, 0, false},
		{"half of all, a third revoked", 50, 100, 33, true},
		{"less than half, a third revoked", 49, 100, 33, false},
		{"all with valid keys, a third revoked", 67, 100, 33, true},
		{"all with valid keys, more than half revoked", 45, 100, 55, true},
		{"nearly all with valid keys, more than half revoked", 41, 100, 55, true},
		{"too few with valid keys, more than half revoked", 40, 100, 55, false},
		{"a run of seed 1 with early refusals", 51, 103, 44, false},
		{"another", 37, 84, 36, false},
		{"a run of seed 9005 with early refusals", 43, 87, 35, false},
		{"another", 45, 93, 34, false},
		{"no answer to any with a valid key", 0, 40, 40, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := recovered(tt.served, tt.sent, tt.revoked); got != tt.want {
				t.Errorf("recovered(%d, %d, %d) is %t, want %t", tt.served, tt.sent, tt.revoked, got, tt.want)
			}
		})
	}
}
