package serve

import (
	"sync"
	"time"
)

// graceDivisor sets the grace period, which is timeout/graceDivisor and follows the
// timeout. If this process was paused, the timer has expired when it resumes, although
// messages that arrived during the pause are still unread.
const graceDivisor = 4

// watchdog calls onTimeout if it is not stopped within the timeout and the grace
// period. It bounds the wait for the next message of an agent.
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
