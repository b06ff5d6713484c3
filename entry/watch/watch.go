// Package watch keeps one connection open to each target's agent and hands its
// reports to the control goroutine. It judges nothing.
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

const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Agents watches an agent until the connection fails or ctx ends.
type Agents interface {
	Watch(ctx context.Context, address string, take func(entry.Report)) error
}

// Control takes what is seen.
type Control interface {
	// Watched returns the targets to watch, and a channel that is closed when
	// others may have to be.
	Watched() ([]fleet.Target, <-chan struct{})
	Reported(target string, report entry.Report)
	Lost(target string, err error)
}

// Watchers holds one watcher for each target that the instance watches.
type Watchers struct {
	tomb    tomb.Tomb
	agents  Agents
	control Control
	running map[string]*watcher // by target, owned by run
}

// New starts to watch targets, also those of later configurations, until Close.
func New(agents Agents, control Control) *Watchers {
	w := &Watchers{agents: agents, control: control, running: map[string]*watcher{}}
	w.tomb.Go(w.run)
	return w
}

// Close ends all watchers and waits.
func (w *Watchers) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

func (w *Watchers) run() error {
	for {
		targets, changed := w.control.Watched()
		w.follow(targets)
		select {
		case <-changed:
		case <-w.tomb.Dying():
			w.follow(nil)
			return nil
		}
	}
}

// follow starts and ends watchers so that they match the targets.
func (w *Watchers) follow(targets []fleet.Target) {
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

// watcher watches one target.
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
			w.control.Reported(w.name, report)
		})
		if ctx.Err() != nil {
			return nil
		}
		w.control.Lost(w.name, err)
		if !clock.Pause(ctx, time.Duration(rand.Float64()*float64(backoff))) {
			return nil
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
