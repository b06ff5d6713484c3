package ingress

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"hornbeamtray/adapter/socket"
	"hornbeamtray/core/intake"
)

const reportInterval = time.Second // of gauges, and between log lines of one kind

// Meter records the guard's metrics.
type Meter interface {
	Inc(name, kind string)
	Gauge(name string, value float64)
}

// Journal logs events.
type Journal interface {
	Event(event string, pairs ...any)
}

// Guard bounds what the callers of all HTTP listeners of a process may take.
type Guard struct {
	tomb    tomb.Tomb
	start   sync.Once
	meter   Meter   // may be nil
	journal Journal // may be nil
	epoch   time.Time
	bounds  atomic.Pointer[bounds] // of callers' listeners
	tally   tally

	memory       int64
	callerCount  int
	writeTimeout time.Duration // without a byte that the caller takes of a response

	mu      sync.Mutex // guards the following; never held while a connection is read, written or closed
	pool    intake.Pool
	callers set
	probes  set
}

// Option configures a Guard.
type Option func(*Guard)

// WithMemory sets the memory for heads and bodies together, in bytes. The default is 32 MiB.
// A single caller gets at most half of it.
func WithMemory(bytes int64) Option {
	return func(g *Guard) { g.memory = bytes }
}

// WithConnections sets the number of connections of callers. The default is 2,000. The
// process's limit on descriptors may lower it.
func WithConnections(n int) Option {
	return func(g *Guard) { g.callerCount = n }
}

// WithMeter records metrics.
func WithMeter(m Meter) Option {
	return func(g *Guard) { g.meter = m }
}

// WithJournal logs refusals.
func WithJournal(j Journal) Option {
	return func(g *Guard) { g.journal = j }
}

// New returns a guard with the default limits. Close it after its servers.
func New(options ...Option) *Guard {
	g := &Guard{memory: defaultMemory, callerCount: defaultCallers, writeTimeout: defaultWriteTimeout, epoch: time.Now()}
	for _, option := range options {
		option(g)
	}
	descriptors := descriptorLimit()
	g.pool = intake.New(g.memory)
	g.callers.bound = callerBound(g.callerCount, descriptors)
	g.probes.bound = probeBound(descriptors)
	g.SetLimits(Limits{})
	return g
}

// SetLimits sets the published limits of callers' listeners. Heads that have begun keep the
// limits that they began with.
func (g *Guard) SetLimits(limits Limits) { g.bounds.Store(limits.bounds()) }

// ListenerOption configures one listener.
type ListenerOption func(*listener)

// ForProbes marks a listener for probes and metrics. The default limits apply to it, and
// its connections are counted apart from those of callers.
func ForProbes() ListenerOption {
	return func(l *listener) { l.set, l.bounds = &l.guard.probes, Limits{}.bounds }
}

// WithRepeats marks a listener whose requests may repeat an earlier one that has run. Its
// refusals of heads use no status that promises that the request did not run.
func WithRepeats() ListenerOption {
	return func(l *listener) { l.repeats = true }
}

// Serve starts serving on l until Drain or Close. It replaces the server's hooks and limits
// and wraps its handler.
func (g *Guard) Serve(l net.Listener, s *http.Server, options ...ListenerOption) *socket.Server {
	guarded := &listener{Listener: l, guard: g, set: &g.callers, bounds: g.bounds.Load}
	for _, option := range options {
		option(guarded)
	}
	s.Handler = handler{guard: g, next: s.Handler}
	s.ConnState = changeState
	s.ConnContext = withConn
	s.MaxHeaderBytes = maxHeadBytes
	s.ReadTimeout, s.ReadHeaderTimeout, s.IdleTimeout = 0, 0, 0 // the guard's apply, which may change
	s.DisableGeneralOptionsHandler = true                       // handler answers these requests, so that the guard learns of each one
	s.RegisterOnShutdown(guarded.closeWaiting)
	g.start.Do(func() { g.tomb.Go(g.run) })
	return socket.Serve(guarded, s)
}

// Close stops reporting and waits until that has ended.
func (g *Guard) Close() error {
	g.start.Do(func() { g.tomb.Go(g.run) }) // tomb can only wait for what has begun
	g.tomb.Kill(nil)
	return g.tomb.Wait()
}

// run reports metrics and logs until Close.
func (g *Guard) run() error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		g.report()
		select {
		case <-ticker.C:
		case <-g.tomb.Dying():
			g.report()
			return nil
		}
	}
}

func (g *Guard) report() {
	g.mu.Lock()
	used, open := g.pool.Used(), len(g.callers.members)+len(g.probes.members)
	g.mu.Unlock()
	if g.meter != nil {
		g.meter.Gauge("ingress_memory", float64(used))
		g.meter.Gauge("ingress_connections", float64(open))
	}
	for k, e := range g.tally.take() {
		if g.journal != nil {
			g.journal.Event("callers refused", "kind", string(k), "count", e.count, "address", e.address)
		}
	}
}

// refused counts a refusal.
func (g *Guard) refused(k kind, address string) {
	if g.meter != nil {
		g.meter.Inc("ingress_refused", string(k))
	}
	g.tally.add(k, address)
}

// now returns the time since the guard was made, which is never 0.
func (g *Guard) now() int64 { return int64(time.Since(g.epoch)) + 1 }

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

func withConn(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, raw)
}

// connOf returns the connection of a request, or nil if no guard serves it.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

func changeState(raw net.Conn, state http.ConnState) {
	c := raw.(*conn)
	switch state {
	case http.StateIdle:
		c.idle()
	case http.StateHijacked:
		c.hijacked()
	case http.StateClosed:
		c.endRequest()
	}
}

// handler tells a connection when its requests start and end.
type handler struct {
	guard *Guard
	next  http.Handler
}

// ServeHTTP serves one request.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	switch c.begin(r) {
	case accepted:
	case memory:
		h.guard.refused(memory, c.owner)
		c.linger()
		refuse(w, responses[memory], c.repeats)
		return
	default:
		panic(http.ErrAbortHandler) // the connection was closed before the request started
	}
	defer c.finish()
	if r.Method == http.MethodOptions && r.RequestURI == "*" {
		w.Header().Set("Content-Length", "0")
		return
	}
	h.next.ServeHTTP(w, r)
}

// refuse writes a refusal as the response to a request whose head was complete.
func refuse(w http.ResponseWriter, r response, repeats bool) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter/time.Second)))
	http.Error(w, r.text, r.statusFor(repeats))
}
