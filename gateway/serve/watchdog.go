package serve

import (
	"sync"
	"time"
)

// watchdog cancels an attempt that takes too long, or whose target sends nothing
// for too long.
type watchdog struct {
	cancel func()

	mu    sync.Mutex
	timer *time.Timer // guarded by mu
}

func newWatchdog(cancel func()) *watchdog { return &watchdog{cancel: cancel} }

// start starts or restarts the timer, which cancels the attempt after wait unless
// stop is called first.
func (w *watchdog) start(wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		w.timer = time.AfterFunc(wait, w.cancel)
		return
	}
	w.timer.Reset(wait)
}

// stop stops the timer.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}
