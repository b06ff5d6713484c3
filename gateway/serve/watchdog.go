package serve

import (
	"sync"
	"time"
)

// watchdog gives an attempt up whose target sends nothing for too long.
type watchdog struct {
	giveUp func()

	mu    sync.Mutex
	timer *time.Timer // guarded by mu
}

func newWatchdog(giveUp func()) *watchdog { return &watchdog{giveUp: giveUp} }

// expect begins to wait for a sign of the target.
func (w *watchdog) expect(wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		w.timer = time.AfterFunc(wait, w.giveUp)
		return
	}
	w.timer.Reset(wait)
}

// rest ends the wait.
func (w *watchdog) rest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}
