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

// This file joins the real entry and agent services in one process, with fakes
// at two interfaces only: the link between them and the target's engine.

// point is where in a call a fault strikes.
type point int

const (
	nowhere point = iota
	beforeSending
	afterSending // the request is on its way
	afterStart
	afterFinish
	halfRead
	points
)

// strike is what happens at a point.
type strike int

const (
	cut        strike = iota // the connection fails
	killAgent                // the agent's process is killed and restarted
	killTarget               // the target is killed in the middle of its runs
	freeze                   // the request arrives only after its ticket has expired
	double                   // every part comes twice
	cross                    // parts of another request come in between
	lose                     // the last part before the end is lost
	strikes
)

// fault is one strike at one attempt.
type fault struct {
	point    point
	strike   strike
	loseVoid bool // the next question about the ticket gets no answer
}

var errLink = errors.New("the link failed")

// silent is a meter and a journal that keep nothing.
type silent struct{}

func (silent) Inc(string, string)            {}
func (silent) Gauge(string, float64)         {}
func (silent) Observe(string, time.Duration) {}
func (silent) Event(string, ...any)          {}
func (silent) Changes(_, _ trail.Trail)      {}

// fakeEngine counts runs by request body and answers with chunks of text.
type fakeEngine struct {
	mu     sync.Mutex
	runs   map[string]int
	killed chan struct{}
	step   time.Duration
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{runs: map[string]int{}, killed: make(chan struct{}), step: 100 * time.Millisecond}
}

func answerTo(body string) string {
	return strings.Repeat(body+" ", 40)
}

// Run counts the run and writes the answer in four steps.
func (e *fakeEngine) Run(ctx context.Context, call agentserve.Call, sink agentserve.Sink) error {
	e.mu.Lock()
	e.runs[string(call.Body)]++
	killed := e.killed
	e.mu.Unlock()
	text := answerTo(string(call.Body))
	sink.Begin(answer.Head{Status: 200, ContentType: "text/plain"})
	for i := range 4 {
		select {
		case <-time.After(e.step):
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

// host runs one agent, and a new one after each kill.
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

// start begins a new process of the agent and returns the one before, nil at first.
func (h *host) start() *agentserve.Service {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.service
	h.starts++
	h.service = agentserve.New(target.New(h.name, fmt.Sprintf("%s-%d", h.name, h.starts)), h.engine, silent{}, silent{})
	h.service.Offer(h.configuration, nil)
	return old
}

func (h *host) current() *agentserve.Service {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service
}

// restart kills the agent's process and starts another. Two calls at once kill
// two processes, one after the other.
func (h *host) restart() {
	_ = h.start().Close()
}

// feeder reports hosts to an entry, as watchers do.
type feeder struct {
	entry *serve.Service
	hosts map[string]*host
	done  chan struct{}
	ended sync.WaitGroup
}

func newFeeder(s *serve.Service, hosts map[string]*host) *feeder {
	f := &feeder{entry: s, hosts: hosts, done: make(chan struct{})}
	f.ended.Add(1)
	go f.run()
	return f
}

func (f *feeder) run() {
	defer f.ended.Done()
	for {
		for _, h := range f.hosts {
			report, _ := h.current().Report()
			f.entry.HandleReport(h.name, report)
		}
		select {
		case <-time.After(time.Second):
		case <-f.done:
			return
		}
	}
}

// Close stops reporting and waits.
func (f *feeder) Close() {
	close(f.done)
	f.ended.Wait()
}

// written is a caller that keeps its answer.
type written struct {
	ticket ticket.Ticket
	text   strings.Builder
}

// WriteHead keeps the ticket.
func (w *written) WriteHead(t ticket.Ticket, _ serve.Head) error {
	w.ticket = t
	return nil
}

// Write keeps the bytes.
func (w *written) Write(p []byte) error {
	w.text.Write(p)
	return nil
}

func newEntry(name string, l *link, c fleet.Configuration) *serve.Service {
	s := serve.New(entry.New(name, "d0"), l, silent{}, silent{}, serve.WithRandom(&seeded{random: rand.New(rand.NewPCG(1979, 8))}))
	s.Offer(c, nil)
	return s
}

// seeded is a random source of a fixed seed.
type seeded struct {
	mu     sync.Mutex
	random *rand.Rand
}

// IntN returns a number below n.
func (s *seeded) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// Float64 returns a number from 0 up to 1.
func (s *seeded) Float64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}
