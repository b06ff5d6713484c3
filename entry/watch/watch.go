// Package watch keeps a connection to the agent of each watched target and passes
// the agent's reports on to the control goroutine. It makes no decisions.
package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"gopkg.in/tomb.v2"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/core/entry"
	"hornbeamtray/core/fleet"
)

// Bounds of the backoff after a failed connection: each wait is drawn uniformly
// between zero and a bound that doubles from firstBackoff to maxBackoff. A report
// resets the bound.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Agents connects to agents of targets.
type Agents interface {
	// Watch calls handle with each report of the agent at address. It returns when
	// the connection fails or ctx ends.
	Watch(ctx context.Context, address string, handle func(entry.Report)) error
}

// Control selects the targets to watch and handles what their watchers observe.
type Control interface {
	// WatchedTargets returns the targets to watch, and a channel that is closed when
	// the selection may have changed.
	WatchedTargets() ([]fleet.Target, <-chan struct{})
	// HandleReport handles a report of a target's agent.
	HandleReport(target string, report entry.Report)
	// HandleLost handles a failed connection to a target's agent.
	HandleLost(target string, err error)
}

// Watchers runs one watcher for each target that the instance watches.
type Watchers struct {
	tomb    tomb.Tomb
	agents  Agents
	control Control
	running map[string]*watcher // by target; accessed only by run
}

// New starts to watch the targets that control selects. It follows changes of the
// selection until Close.
func New(agents Agents, control Control) *Watchers {
	w := &Watchers{agents: agents, control: control, running: map[string]*watcher{}}
	w.tomb.Go(w.run)
	return w
}

// Close stops all watchers and waits until they have ended.
func (w *Watchers) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

func (w *Watchers) run() error {
	for {
		targets, changed := w.control.WatchedTargets()
		w.reconcile(targets)
		select {
		case <-changed:
		case <-w.tomb.Dying():
			w.reconcile(nil)
			return nil
		}
	}
}

// reconcile stops the watchers of targets that are not in the list or whose address
// changed, waits until they have ended, and starts the missing ones.
func (w *Watchers) reconcile(targets []fleet.Target) {
	wanted := map[string]string{} // address by target
	for _, t := range targets {
		wanted[t.Name] = t.Address
	}
	var ended []*watcher
	for name, running := range w.running {
		if wanted[name] != running.address {
			running.tomb.Kill(nil)
			ended = append(ended, running)
			delete(w.running, name)
		}
	}
	for _, e := range ended {
		_ = e.tomb.Wait()
	}
	for _, t := range targets {
		if _, found := w.running[t.Name]; !found {
			w.running[t.Name] = newWatcher(t, w.agents, w.control)
		}
	}
}

// watcher watches one target. It reconnects with a backoff until it is stopped.
type watcher struct {
	tomb    tomb.Tomb
	name    string
	address string
	agents  Agents
	control Control
}

func newWatcher(t fleet.Target, agents Agents, control Control) *watcher {
	w := &watcher{name: t.Name, address: t.Address, agents: agents, control: control}
	w.tomb.Go(w.run)
	return w
}

func (w *watcher) run() error {
	ctx := w.tomb.Context(context.Background())
	backoff := firstBackoff
	for {
		err := w.agents.Watch(ctx, w.address, func(report entry.Report) {
			backoff = firstBackoff
			w.control.HandleReport(w.name, report)
		})
		if ctx.Err() != nil {
			return nil
		}
		w.control.HandleLost(w.name, err)
		if !clock.Pause(ctx, time.Duration(rand.Float64()*float64(backoff))) {
			return nil
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
