package peers_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/route"
	"hornbeamtray/core/trail"
	"hornbeamtray/gateway/follow"
	"hornbeamtray/gateway/peers"
	"hornbeamtray/gateway/serve"
)

const (
	revokeTime   = 5 * time.Second         // from the acknowledgement of a revocation until no request sent with the key may run
	maxStaleness = 4800 * time.Millisecond // as in platform/command
	revokedKey   = "revoked"
	keptKey      = "kept"
	bothKeys     = keptKey + "," + revokedKey
)

// world is a store, a target and the time, which passes for all processes alike. It can pass
// at once, as a pause of a process seems to it.
type world struct {
	passed atomic.Int64 // beside the real time
	store  *worldStore

	mu           sync.Mutex
	sentAt       map[string]time.Time // of requests, by ID; guarded by mu
	ran          []string             // IDs of the requests that reached the target; guarded by mu
	acknowledged time.Time            // when the revocation was; guarded by mu
	sending      sync.WaitGroup
}

func newWorld() *world {
	w := &world{sentAt: map[string]time.Time{}}
	w.store = &worldStore{world: w, version: 1, keys: bothKeys, changed: make(chan struct{})}
	return w
}

func (w *world) now() time.Time { return time.Now().Add(time.Duration(w.passed.Load())) }

// revoke takes the key away.
func (w *world) revoke() { w.store.put(keptKey) }

// revoked reports whether the key was taken away.
func (w *world) revoked() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.acknowledged.IsZero()
}

// send sends a request with a key to a gateway.
func (w *world) send(p *process, key string) {
	w.mu.Lock()
	id := fmt.Sprintf("%s-%d", key, len(w.sentAt))
	w.sentAt[id] = w.now()
	w.mu.Unlock()
	w.sending.Go(func() {
		p.service.Serve(context.Background(), serve.Request{Message: serve.Message{Method: "GET"}, ID: id, Host: "h", Path: "/", Key: key}, discardWriter{})
	})
}

// lateRuns returns the requests that ran with the revoked key though they were sent too late, and how
// many ran with the other key after the revocation.
func (w *world) lateRuns() (late []string, kept int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.ran {
		since := w.sentAt[id].Sub(w.acknowledged)
		switch {
		case w.acknowledged.IsZero():
		case strings.HasPrefix(id, revokedKey) && since > revokeTime:
			late = append(late, fmt.Sprintf("%s, sent %s after the revocation", id, since))
		case strings.HasPrefix(id, keptKey) && since > 0:
			kept++
		}
	}
	return late, kept
}

// worldStore holds one configuration, which is a list of keys.
type worldStore struct {
	world *world

	mu      sync.Mutex
	version uint64        // also the number of the revision; guarded by mu
	keys    string        // guarded by mu
	changed chan struct{} // closed at the next change; guarded by mu
}

// put publishes a configuration with the keys, but without one that was taken away before.
func (s *worldStore) put(keys string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	if s.keys == bothKeys && keys != bothKeys {
		s.keys = keys
		s.world.mu.Lock()
		s.world.acknowledged = s.world.now()
		s.world.mu.Unlock()
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// latest returns the version of the configuration.
func (s *worldStore) latest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *worldStore) since(after uint64, at time.Time) follow.Batch {
	revision := roster.Revision(1, s.version)
	batch := follow.Batch{Revision: revision, ReadAt: at}
	if revision > after {
		batch.Items = []follow.Item{{Key: "config", Value: []byte(s.keys), Version: s.version, Revision: revision}}
	}
	return batch
}

// List implements follow.Store.
func (s *worldStore) List(context.Context) (follow.Batch, error) {
	at := s.world.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.since(0, at)
	batch.Complete = true
	return batch, nil
}

// Watch implements follow.Store.
func (s *worldStore) Watch(ctx context.Context, after uint64, wait time.Duration) (follow.Batch, error) {
	at := s.world.now()
	s.mu.Lock()
	changed, behind := s.changed, roster.Revision(1, s.version) > after
	s.mu.Unlock()
	if !behind {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return follow.Batch{}, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since(after, at), nil
}

// process is a gateway that can be paused at the points that it passes: each time it reads the
// clock, before and after that, and some others.
type process struct {
	world   *world
	service *serve.Service
	inbox   *follow.Inbox
	address string
	blind   atomic.Bool // the process can't read the store

	mu     sync.Mutex
	frozen chan struct{}   // closed when the process goes on; nil while it runs; guarded by mu
	points map[string]bool // that were passed; guarded by mu
	armed  string          // point at which pause is called next; guarded by mu
	when   func() bool     // pause is not called before it returns true; guarded by mu
	pause  func()          // guarded by mu
}

// startProcess starts a gateway with one seed, or with none if seed is empty.
func startProcess(t *testing.T, w *world, name, seed string) *process {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{world: w, address: listener.Addr().String(), points: map[string]bool{}}
	p.service = serve.New(dispatch.New(name, "d", dispatch.Bounds{MaxStaleness: maxStaleness}), worldTarget{p}, discard{}, processJournal{process: p}, serve.WithClock(p.now))
	p.inbox = follow.NewInbox(follow.NewMirror(), p.service, p.decode, p.now)
	client := wire.NewClient()
	seeds := func() []string {
		if seed == "" {
			return nil
		}
		return []string{seed}
	}
	others := peers.New(name, p.address, seeds, client, p.service, p.inbox, p.now)
	server := wire.NewHandlersServer(listener, others.Handlers())
	follower := follow.New(processStore{p}, others, p.inbox, discard{}, maxStaleness)
	t.Cleanup(func() {
		_ = follower.Close()
		_ = server.Close()
		_ = others.Close()
		_ = client.Close()
		_ = p.service.Close()
	})
	return p
}

// now is the process's clock.
func (p *process) now() time.Time {
	point := callerName()
	p.pass(point + ", before it reads the clock")
	now := p.world.now()
	p.pass(point + ", after it read the clock")
	return now
}

// callerName returns the name of the function that reads the clock, with its line.
func callerName() string {
	callers := make([]uintptr, 8)
	frames := runtime.CallersFrames(callers[:runtime.Callers(3, callers)])
	frame, _ := frames.Next()
	name := frame.Function[strings.LastIndex(frame.Function, "/")+1:]
	return fmt.Sprintf("%s:%d", name, frame.Line)
}

// pass is called at each point. It blocks while the process is paused, and calls the armed
// function at the armed point.
func (p *process) pass(point string) {
	p.mu.Lock()
	for p.frozen != nil {
		frozen := p.frozen
		p.mu.Unlock()
		<-frozen
		p.mu.Lock()
	}
	p.points[point] = true
	var pause func()
	if p.armed == point && p.when() {
		p.armed, pause = "", p.pause
	}
	p.mu.Unlock()
	if pause != nil {
		pause()
	}
}

// arm lets the process call pause when it next passes a point while when returns true.
func (p *process) arm(point string, when func() bool, pause func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed, p.when, p.pause = point, when, pause
}

// freeze stops all goroutines of the process at the next points that they pass, until the
// returned function is called.
func (p *process) freeze() (resume func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = make(chan struct{})
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		close(p.frozen)
		p.frozen = nil
	}
}

// passed returns the points that were passed since the last call, sorted.
func (p *process) passed() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	points := slices.Sorted(maps.Keys(p.points))
	clear(p.points)
	return points
}

// decode takes some time, as for many routes.
func (p *process) decode(batch follow.Batch, _ time.Time) dispatch.Update {
	update := dispatch.Update{Complete: batch.Complete, Revision: batch.Revision, ReadAt: batch.ReadAt, Targets: []roster.Target{{ID: "t", Service: "s", Slots: 10_000, Revision: 1}}}
	for _, item := range batch.Items {
		p.pass("decode, begin")
		time.Sleep(2 * time.Millisecond)
		keys := strings.Split(string(item.Value), ",")
		update.Books = append(update.Books, route.NewBook(item.Version, route.WithAccount(route.Account{Name: "acme"}, keys...),
			route.WithRoutes(route.Route{Host: "h", Prefix: "/", Kind: route.Idempotent, Timeout: time.Hour, Attempts: 2, Shares: []route.Share{{Service: "s", Weight: 1}}})))
		p.pass("decode, end")
	}
	return update
}

// processStore is the store as a process reads it.
type processStore struct {
	process *process
}

// List implements follow.Store.
func (s processStore) List(ctx context.Context) (follow.Batch, error) {
	s.process.pass("store listed, begin")
	defer s.process.pass("store listed, end")
	if s.process.blind.Load() {
		return follow.Batch{}, errors.New("the store can't be reached")
	}
	return s.process.world.store.List(ctx)
}

// Watch implements follow.Store.
func (s processStore) Watch(ctx context.Context, after uint64, wait time.Duration) (follow.Batch, error) {
	s.process.pass("store watched, begin")
	defer s.process.pass("store watched, end")
	if s.process.blind.Load() {
		return follow.Batch{}, errors.New("the store can't be reached")
	}
	return s.process.world.store.Watch(ctx, after, wait)
}

// worldTarget is the target that runs all requests of a process.
type worldTarget struct {
	process *process
}

// Send implements serve.Targets.
func (t worldTarget) Send(_ context.Context, call serve.Call) (serve.Reply, error) {
	t.process.pass("request sent, begin")
	w := t.process.world
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran = append(w.ran, call.ID)
	return emptyReply{}, nil
}

// Ask implements serve.Targets.
func (worldTarget) Ask(context.Context, string) serve.Sign { return serve.Sign{Reach: serve.Answered} }

type emptyReply struct{}

func (emptyReply) Head() serve.Head               { return serve.Head{Status: 200, Signed: true} }
func (emptyReply) Read([]byte) (int, error)       { return 0, io.EOF }
func (emptyReply) Ask(context.Context) serve.Sign { return serve.Sign{Reach: serve.Answered} }
func (emptyReply) Close()                         {}

type discardWriter struct{}

func (discardWriter) Begin(serve.Head) error { return nil }
func (discardWriter) Write([]byte) error     { return nil }

// discard is a journal and a meter that discard everything.
type discard struct{}

func (discard) Event(string, ...any)          {}
func (discard) Changes(_, _ trail.Trail)      {}
func (discard) Inc(_, _ string)               {}
func (discard) Gauge(string, float64)         {}
func (discard) Observe(string, time.Duration) {}

// processJournal passes a point after each event on the control goroutine.
type processJournal struct {
	discard
	process *process
}

// Changes implements serve.Journal.
func (j processJournal) Changes(_, _ trail.Trail) { j.process.pass("control, after an event") }
