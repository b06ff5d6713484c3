package serve

import (
	"sync"
	"time"
)

// graceDivisor sets the grace period, which follows the timeout and lasts
// timeout/graceDivisor. If this process was paused, the timeout may have expired during
// the pause. The grace period gives it time to read the messages that arrived meanwhile.
const graceDivisor = 4

// watchdog calls onTimeout unless it is stopped before the timeout and the following
// grace period have passed. It bounds the wait for the next message of an agent.
type watchdog struct {
	timeout   time.Duration
	onTimeout func()

	mu     sync.Mutex
	timer  *time.Timer // guarded by mu
	active bool        // guarded by mu
}

func newWatchdog(timeout time.Duration, onTimeout func()) *watchdog {
	return &watchdog{timeout: timeout, onTimeout: onTimeout}
}

// start starts the timeout.
func (w *watchdog) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active = true
	w.timer = time.AfterFunc(w.timeout, w.startGracePeriod)
}

// stop stops the timer. The watchdog can be started again.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active = false
	w.timer.Stop()
}

// startGracePeriod is called when the timeout expires.
func (w *watchdog) startGracePeriod() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active {
		w.timer = time.AfterFunc(w.timeout/graceDivisor, w.onTimeout)
	}
}
