package soak

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the platform's pages that the soak's settings state.
const (
	revoke     = 3 * time.Second
	drainTime  = 3 * time.Second
	settleTime = 4 * time.Second // after harm, until bounds hold for a machine again
)

// attempt is one request of a caller.
type attempt struct {
	sent    time.Time
	tenant  string
	once    bool // may run once at most
	promise bool // was told that it has not run
	runs    int
}

// ledger knows every request, and what broke.
type ledger struct {
	world *world

	mu       sync.Mutex
	attempts map[string]*attempt  // by ID; guarded by mu
	removed  map[string]time.Time // when each tenant's key was taken away; guarded by mu
	broken   []string             // guarded by mu
	served   int                  // guarded by mu
	asked    int                  // guarded by mu
}

func newLedger(w *world) *ledger {
	return &ledger{world: w, attempts: map[string]*attempt{}, removed: map[string]time.Time{}}
}

func (l *ledger) sent(id, tenant string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id] = &attempt{sent: time.Now(), tenant: tenant, once: once}
	l.asked++
}

func (l *ledger) breaks(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaksLocked(format, values...)
}

// breaksLocked is called with mu held.
func (l *ledger) breaksLocked(format string, values ...any) {
	l.broken = append(l.broken, fmt.Sprintf("%.3f s: ", time.Since(l.world.begun).Seconds())+fmt.Sprintf(format, values...))
}

// ran takes note that a server runs a request, and returns how many it has run.
func (l *ledger) ran(id, tenant string, s *server, caller string, leaving time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	a, known := l.attempts[id]
	if !known {
		l.breaksLocked("UNASKED: %s runs, which nobody sent", id)
		return 1
	}
	a.runs++
	if tenant != a.tenant {
		l.breaksLocked("UNASKED: %s runs for tenant %q, want %q", id, tenant, a.tenant)
	}
	if a.once && a.runs > 1 {
		l.breaksLocked("TWICE: %s runs %d times", id, a.runs)
	}
	if a.promise && a.once {
		l.breaksLocked("REFUSED: %s runs after a promise that it never will", id)
	}
	if at, taken := l.removed[a.tenant]; taken && a.sent.Sub(at) > revoke {
		l.breaksLocked("CONFIG: %s, sent %v after its key was taken away, runs", id, a.sent.Sub(at))
	}
	if !leaving.IsZero() && now.Sub(leaving) > drainTime && l.world.inTouch(caller, leaving) {
		l.breaksLocked("DRAIN: %s reaches %s from %s, %v after it left", id, s.address, caller, now.Sub(leaving))
	}
	return len(l.attempts)
}

// told takes note of how a request ended at its caller.
func (l *ledger) told(id string, promise, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[id]
	a.promise = a.promise || promise
	if promise && a.once && a.runs > 0 {
		l.breaksLocked("REFUSED: %s is refused as not run, and has", id)
	}
	if served {
		l.served++
	}
}

func (l *ledger) totals() (served, asked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served, l.asked
}
