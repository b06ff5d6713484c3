// Package engine simulates targets for tests and demonstrations: a model engine
// that streams tokens and a plain service. A target counts the runs of each request,
// and fails requests that exceed its capacity.
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"

	"hornbeamtray/agent/engine"
)

// Task is the body of a request to an Engine.
type Task struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
	Delay  string `json:"delay"` // delay before a plain answer, or before each token
	Fail   string `json:"fail"`  // "cut" closes the connection before a plain answer, or halfway through a stream
}

// Engine is a simulated target.
type Engine struct {
	kind        string
	capacity    Capacity
	journal     io.Writer // receives one line per run
	boot        string    // identifies the process; differs after a restart
	checksFence bool      // set by WithFencing

	mu         sync.Mutex
	coldSince  time.Time      // guarded by mu; time of the last cold start
	runs       map[string]int // guarded by mu; runs by request ID
	running    int            // guarded by mu
	peak       int            // guarded by mu
	overloaded int            // guarded by mu; requests that exceeded the limit
	fence      [2]uint64      // guarded by mu; version and count of the last accepted order
	loaded     string         // guarded by mu; body of the last accepted order
	orders     int            // guarded by mu; accepted orders
}

// Option configures an Engine.
type Option func(*Engine)

// WithCapacity sets the capacity. By default, it is unlimited.
func WithCapacity(capacity Capacity) Option {
	return func(e *Engine) { e.capacity = capacity }
}

// WithFencing makes the target refuse an order (PUT /load) whose fencing number is not
// greater than that of the last accepted order.
func WithFencing() Option {
	return func(e *Engine) { e.checksFence = true }
}

// WithJournal writes a line to journal when a run starts: request ID, prompt and
// Unix time in milliseconds, separated by tabs. The engine serializes the writes.
func WithJournal(journal io.Writer) Option {
	return func(e *Engine) { e.journal = journal }
}

// New returns a target of kind "model" or "plain". It starts cold if its capacity
// has a ColdLimit.
func New(kind string, options ...Option) *Engine {
	now := time.Now()
	e := &Engine{kind: kind, journal: io.Discard, boot: strconv.FormatInt(now.UnixNano(), 36), coldSince: now, runs: map[string]int{}}
	for _, option := range options {
		option(e)
	}
	return e
}

// Handler returns the HTTP handler of the target.
func (e *Engine) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/runs"), e.showRuns)
	mux.HandleFunc(pat.Get("/load"), e.showLoad)
	mux.HandleFunc(pat.Put("/cold"), e.turnCold)
	mux.HandleFunc(pat.Put("/load"), e.order)
	mux.HandleFunc(pat.Post("/:call"), e.serve)
	return mux
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	var task Task
	if err := json.NewDecoder(r.Body).Decode(&task); err != nil {
		http.Error(w, "the body is not a valid task", http.StatusBadRequest)
		return
	}
	if !e.begin(r.Header.Get(engine.RequestHeader), task.Prompt) {
		http.Error(w, "the target is overloaded", http.StatusInternalServerError)
		return
	}
	defer e.end()
	delay, _ := time.ParseDuration(task.Delay)
	if e.kind == "model" {
		e.stream(w, r, task, delay)
		return
	}
	if !sleep(r, delay) {
		return
	}
	if task.Fail == "cut" {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"call\":%q,\"prompt\":%q}\n", pat.Param(r, "call"), task.Prompt)
}

// stream writes the tokens with a delay before each. It skips the bytes before the
// offset in the request's Tray-Offset header; skipped tokens are delayed as well.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, task Task, delay time.Duration) {
	skip, _ := strconv.Atoi(r.Header.Get(engine.OffsetHeader))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	control := http.NewResponseController(w)
	for i := range task.Tokens {
		if !sleep(r, slowedDelay(delay, e.warmth())) {
			return
		}
		if task.Fail == "cut" && i == task.Tokens/2 {
			panic(http.ErrAbortHandler)
		}
		token := fmt.Sprintf("%s-%d ", task.Prompt, i)
		if skip >= len(token) {
			skip -= len(token)
			continue
		}
		_, _ = w.Write([]byte(token[skip:]))
		skip = 0
		_ = control.Flush()
	}
}

// begin records a run and reports whether the capacity allows it. A run that
// exceeds the capacity counts as overloaded and as a run.
func (e *Engine) begin(id, prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	fmt.Fprintf(e.journal, "%s\t%s\t%d\n", id, prompt, time.Now().UnixMilli())
	e.running++
	e.peak = max(e.peak, e.running)
	limit, _ := e.capacity.after(time.Since(e.coldSince))
	if limit > 0 && e.running > limit {
		e.overloaded++
		e.running--
		return false
	}
	return true
}

// order stores the body of an order as Load.Loaded. With WithFencing, it answers 409
// if the fencing number is not greater than that of the last accepted order.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	load, err := io.ReadAll(io.LimitReader(r.Body, 1<<10))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var fence [2]uint64
	_, _ = fmt.Sscanf(r.Header.Get(engine.FenceHeader), "%d.%d", &fence[0], &fence[1])
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFence && (fence[0] < e.fence[0] || fence[0] == e.fence[0] && fence[1] <= e.fence[1]) {
		http.Error(w, "the fencing number is not greater than that of the last order", http.StatusConflict)
		return
	}
	e.fence, e.loaded = fence, string(load)
	e.orders++
	fmt.Fprintln(w, "loaded")
}

func (e *Engine) warmth() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, warmth := e.capacity.after(time.Since(e.coldSince))
	return warmth
}

// turnCold restarts the ramp-up. The boot ID and the counters stay, so GET /load
// doesn't reveal the change.
func (e *Engine) turnCold(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldSince = time.Now()
	fmt.Fprintln(w, "cold")
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Engine) showRuns(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.runs)
}

// Load is the state of a target as GET /load returns it.
type Load struct {
	Running    int `json:"running"`
	Peak       int `json:"peak"`
	Runs       int `json:"runs"`   // runs of all requests, repeated runs included
	MaxRuns    int `json:"most"`   // maximum number of runs of a single request
	Overloaded int `json:"fallen"` // requests that exceeded the limit

	Boot   string `json:"boot"`             // identifies the process; differs after a restart
	Loaded string `json:"loaded,omitempty"` // body of the last accepted order
	Orders int    `json:"orders,omitempty"` // accepted orders
}

func (e *Engine) showLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := Load{Running: e.running, Peak: e.peak, Overloaded: e.overloaded, Boot: e.boot, Loaded: e.loaded, Orders: e.orders}
	for _, n := range e.runs {
		load.Runs += n
		load.MaxRuns = max(load.MaxRuns, n)
	}
	_ = json.NewEncoder(w).Encode(load)
}

// sleep waits for d and reports whether it elapsed before the request was canceled.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
