package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"hornbeamtray/agent/answer"
	agentserve "hornbeamtray/agent/serve"
	"hornbeamtray/core/entry"
	"hornbeamtray/core/fleet"
	"hornbeamtray/core/target"
	"hornbeamtray/core/ticket"
	"hornbeamtray/core/trail"
	"hornbeamtray/entry/serve"
)

// This file runs the real entry and agent services in one process. Only the link
// between them and the target's engine are fakes.

// faultPoint is the point in a call at which a fault occurs.
type faultPoint int

const (
	nowhere faultPoint = iota // at no point; only duplicate, interleave and dropLastPart have an effect
	beforeSending
	afterSending // the sender loses the connection; the request may arrive later
	afterStart
	afterFinish
	halfRead // three parts of the answer have been read
	faultPoints
)

// faultKind is what happens at a faultPoint. duplicate, interleave and
// dropLastPart affect every answer that is read, whatever the point.
type faultKind int

const (
	disconnect      faultKind = iota // the connection fails
	killAgent                        // the agent is killed and restarted
	killTarget                       // the target is killed and its runs fail
	delayPastExpiry                  // the request arrives after its ticket's expiry (afterSending) or the stream breaks (afterFinish, halfRead)
	duplicate                        // every part except the end and a refusal arrives twice
	interleave                       // parts of another request and of another attempt arrive before each part
	dropLastPart                     // the last part with data is lost
	faultKinds
)

// fault is the fault injected into one attempt.
type fault struct {
	point    faultPoint
	kind     faultKind
	loseVoid bool // the next Void call fails
}

var errLink = errors.New("the link failed")

// discard implements the metrics and journal interfaces and drops everything.
type discard struct{}

func (discard) Inc(string, string)            {}
func (discard) Gauge(string, float64)         {}
func (discard) Observe(string, time.Duration) {}
func (discard) Event(string, ...any)          {}
func (discard) Changes(_, _ trail.Trail)      {}

// fakeEngine counts runs by request body and writes each answer in four parts.
type fakeEngine struct {
	mu        sync.Mutex
	runs      map[string]int
	killed    chan struct{}
	stepDelay time.Duration
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{runs: map[string]int{}, killed: make(chan struct{}), stepDelay: 100 * time.Millisecond}
}

func answerTo(body string) string {
	return strings.Repeat(body+" ", 40)
}

// Run counts the run and writes the answer in four parts, each after stepDelay.
func (e *fakeEngine) Run(ctx context.Context, call agentserve.Call, sink agentserve.Sink) error {
	e.mu.Lock()
	e.runs[string(call.Body)]++
	killed := e.killed
	e.mu.Unlock()
	text := answerTo(string(call.Body))
	sink.Begin(answer.Head{Status: 200, ContentType: "text/plain"})
	for i := range 4 {
		select {
		case <-time.After(e.stepDelay):
		case <-killed:
			return errors.New("killed")
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := sink.Write(ctx, []byte(text[i*len(text)/4:(i+1)*len(text)/4])); err != nil {
			return err
		}
	}
	return nil
}

func (e *fakeEngine) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.killed)
	e.killed = make(chan struct{})
}

func (e *fakeEngine) count(body string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[body]
}

// host runs one agent and replaces it after each kill.
type host struct {
	name          string
	engine        *fakeEngine
	configuration fleet.Configuration

	mu      sync.Mutex
	service *agentserve.Service
	starts  int
}

func newHost(name string, configuration fleet.Configuration) *host {
	h := &host{name: name, engine: newFakeEngine(), configuration: configuration}
	h.start()
	return h
}

// start starts a new agent and returns the previous one, or nil.
func (h *host) start() *agentserve.Service {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.service
	h.starts++
	h.service = agentserve.New(target.New(h.name, fmt.Sprintf("%s-%d", h.name, h.starts)), h.engine, discard{}, discard{})
	h.service.Offer(h.configuration, nil)
	return old
}

func (h *host) current() *agentserve.Service {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service
}

// restart starts a new agent and closes the previous one. Each of two concurrent
// calls closes a different agent.
func (h *host) restart() {
	_ = h.start().Close()
}

// reporter sends the reports of all hosts to an entry instance every second.
type reporter struct {
	entry *serve.Service
	hosts map[string]*host
	done  chan struct{}
	ended sync.WaitGroup
}

func newReporter(s *serve.Service, hosts map[string]*host) *reporter {
	r := &reporter{entry: s, hosts: hosts, done: make(chan struct{})}
	r.ended.Add(1)
	go r.run()
	return r
}

func (r *reporter) run() {
	defer r.ended.Done()
	for {
		for _, h := range r.hosts {
			report, _ := h.current().Report()
			r.entry.HandleReport(h.name, report)
		}
		select {
		case <-time.After(time.Second):
		case <-r.done:
			return
		}
	}
}

// Close stops the reports and waits for the goroutine to end.
func (r *reporter) Close() {
	close(r.done)
	r.ended.Wait()
}

// recordedAnswer records the ticket and the bytes of an answer.
type recordedAnswer struct {
	ticket ticket.Ticket
	text   strings.Builder
}

// WriteHead records the ticket.
func (w *recordedAnswer) WriteHead(t ticket.Ticket, _ serve.Head) error {
	w.ticket = t
	return nil
}

// Write records the bytes.
func (w *recordedAnswer) Write(p []byte) error {
	w.text.Write(p)
	return nil
}

func newEntry(name string, l *link, c fleet.Configuration) *serve.Service {
	s := serve.New(entry.New(name, "d0"), l, discard{}, discard{}, serve.WithRandom(&seededRandom{random: rand.New(rand.NewPCG(1979, 8))}))
	s.Offer(c, nil)
	return s
}

// seededRandom is a random source with a fixed seed, safe for concurrent use.
type seededRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

// IntN returns a number in [0, n).
func (s *seededRandom) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// Float64 returns a number in [0, 1).
func (s *seededRandom) Float64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}
