package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"sync"
	"time"
)

// The shape of the model servers of a group.
const (
	sets       = 2
	experts    = 24
	placements = 4
	spare      = 3
	passTime   = 60 * time.Millisecond
	copyTime   = 40 * time.Millisecond  // of one expert
	reportLag  = 200 * time.Millisecond // of a report that another machine reads
	tokens     = 400                    // choices of experts by a rank, set and pass
)

// expertMap holds the experts by set and rank.
type expertMap [][][]int

// rankState is the state of one rank that its report shows.
type rankState struct {
	Step      uint64
	Map       uint64
	Prepared  uint64
	Armed     uint64
	ArmedStep uint64
	Held      uint64
}

// rank is a model server.
type rank struct {
	rankState

	number  int
	ip      string
	address string
	content expertMap // of the map in use
	had     uint64    // highest version so far
	copying uint64    // version whose copy is not complete
	copied  time.Time // when it will be
	next    expertMap // of the version prepared or being copied
	counts  []uint64
	history []pastState // for reports that lag
}

type pastState struct {
	at    time.Time
	state rankState
}

// Group stands in for the model servers of a group. They run each pass together.
type Group struct {
	world *World

	mu       sync.Mutex
	ranks    []*rank
	step     uint64
	requests map[string]int // passes that are left, by request
	finished chan struct{}  // closed and replaced after each pass
	hot      []int          // experts that requests choose most
	trouble  bool           // some orders get no answer and are carried out late
	unsaid   map[string]int // orders without an answer, by operation
	lateGo   *command       // go order without an answer that is not carried out yet
	lateAt   time.Time      // when it arrived
	lateStep uint64         // its pass
	orders   int
	silent   int

	operations map[string]int // orders, by operation
	broken     int            // passes that began while two ranks had different maps
}

// NewGroup starts the model servers of a group.
func NewGroup(w *World, size int) (*Group, error) {
	g := &Group{world: w, requests: map[string]int{}, unsaid: map[string]int{}, operations: map[string]int{}, finished: make(chan struct{})}
	first := make(expertMap, sets)
	for set := range first {
		first[set] = make([][]int, size)
		for r := range size {
			for k := range placements {
				if e := (k*size + r) % experts; k*size+r < experts {
					first[set][r] = append(first[set][r], e)
				}
			}
		}
	}
	for i := range size {
		r := &rank{number: i, ip: w.IP(), content: first, counts: make([]uint64, sets*experts)}
		l, err := net.Listen("tcp", r.ip+":0")
		if err != nil {
			return nil, err
		}
		r.address = l.Addr().String()
		g.ranks = append(g.ranks, r)
		mux := http.NewServeMux()
		mux.HandleFunc("GET /hornbeamtray/report", func(w http.ResponseWriter, q *http.Request) { g.report(w, q, r) })
		mux.HandleFunc("GET /hornbeamtray/picked", func(w http.ResponseWriter, q *http.Request) { g.picked(w, q, r) })
		mux.HandleFunc("POST /hornbeamtray/order", func(w http.ResponseWriter, q *http.Request) { g.order(w, q, r) })
		mux.HandleFunc("POST /lohu930/", func(w http.ResponseWriter, q *http.Request) { g.serve(w, q, r) })
		go func() { _ = http.Serve(l, mux) }()
	}
	go g.run()
	go g.runLate()
	return g, nil
}

// run executes passes while there are requests.
func (g *Group) run() {
	for {
		g.mu.Lock()
		begun := len(g.requests) > 0 && g.begin()
		g.mu.Unlock()
		if !begun {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		time.Sleep(passTime)
		g.mu.Lock()
		for id := range g.requests {
			if g.requests[id]--; g.requests[id] <= 0 {
				delete(g.requests, id)
			}
		}
		close(g.finished)
		g.finished = make(chan struct{})
		g.mu.Unlock()
	}
}

// begin begins the next pass, unless a rank holds it.
func (g *Group) begin() bool {
	next := g.step + 1
	for _, r := range g.ranks {
		if r.Held == next {
			return false
		}
	}
	g.step = next
	for _, r := range g.ranks {
		if r.Armed != 0 && r.ArmedStep == next {
			r.Map, r.content = r.Armed, r.next
			r.Armed, r.ArmedStep, r.Prepared = 0, 0, 0
		}
		r.Step = next
		for set := range sets {
			for range tokens {
				e := rand.IntN(experts)
				if len(g.hot) > 0 && rand.IntN(10) < 7 {
					e = g.hot[rand.IntN(len(g.hot))]
				}
				r.counts[set*experts+e]++
			}
		}
		r.note()
	}
	for _, r := range g.ranks[1:] {
		if r.Map != g.ranks[0].Map || !reflect.DeepEqual(r.content, g.ranks[0].content) {
			g.broken++
			g.world.Log("BROKEN: pass %d begins while rank 0 has map %d and rank %d has map %d", next, g.ranks[0].Map, r.number, r.Map)
			break
		}
	}
	return true
}

// note keeps the state for reports that lag.
func (r *rank) note() {
	now := time.Now()
	r.history = append(r.history, pastState{now, r.rankState})
	for len(r.history) > 2 && now.Sub(r.history[1].at) > reportLag {
		r.history = r.history[1:]
	}
}

// refresh completes a copy that is due.
func (r *rank) refresh() {
	if r.copying != 0 && !time.Now().Before(r.copied) {
		r.Prepared, r.copying = r.copying, 0
		r.note()
	}
}

// report answers with the state, which lags unless the rank's own machine asks.
func (g *Group) report(w http.ResponseWriter, q *http.Request, r *rank) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.refresh()
	state := r.rankState
	if from, _, _ := net.SplitHostPort(q.RemoteAddr); from != r.ip {
		state = rankState{}
		for _, past := range r.history {
			if time.Since(past.at) >= reportLag {
				state = past.state
			}
		}
	}
	body := map[string]any{
		"stage": "unified", "busy": false, "queued": 0, "running": len(g.requests), "pace": 1.0, "size": len(g.ranks),
		"group": map[string]any{"name": "g1", "epoch": 1, "rank": r.number, "state": "open"},
		"step":  state.Step, "map": state.Map, "prepared": state.Prepared, "held": state.Held,
	}
	if state.Armed != 0 {
		body["armed"] = map[string]any{"version": state.Armed, "step": state.ArmedStep}
	}
	reply(w, body)
}

func (g *Group) picked(w http.ResponseWriter, q *http.Request, r *rank) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if q.URL.Query().Has("lists") {
		lists := make([][]int, sets)
		for set := range lists {
			lists[set] = r.content[set][r.number]
		}
		reply(w, map[string]any{"map": map[string]any{"version": r.Map, "experts": lists}, "prepared": map[string]any{"version": r.Prepared}})
		return
	}
	reply(w, map[string]any{"step": r.Step, "epoch": 1, "counts": r.counts})
}

// command is the body of an order.
type command struct {
	Operation string    `json:"operation"`
	Version   uint64    `json:"version"`
	Epoch     uint64    `json:"epoch"`
	Step      uint64    `json:"step"`
	Map       expertMap `json:"map"`
}

// order carries an order out, or leaves it without an answer and carries it out late.
func (g *Group) order(w http.ResponseWriter, q *http.Request, r *rank) {
	var c command
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	g.orders++
	g.operations[c.Operation]++
	if g.staysSilent(r, c) {
		g.silent++
		g.unsaid[c.Operation]++
		g.world.Log("rank %d leaves %s unanswered", r.number, c)
		if c.Operation == "go" {
			g.lateGo, g.lateAt, g.lateStep = &c, time.Now(), c.Step
		} else {
			time.AfterFunc(lateMost, func() { g.applyLate(r, c) })
		}
		g.mu.Unlock()
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status := g.apply(r, c)
	g.world.Log("rank %d answers %s with %d", r.number, c, status)
	g.mu.Unlock()
	w.WriteHeader(status)
}

// The orders that get no answer. Each is carried out 2 to 12 s later.
const (
	lateLeast = 2 * time.Second
	lateMost  = 12 * time.Second
)

// staysSilent reports whether an order gets no answer and is carried out late: one go order, and
// the arm orders to the last rank until the pass of that go order has begun.
func (g *Group) staysSilent(r *rank, c command) bool {
	if !g.trouble {
		return false
	}
	switch c.Operation {
	case "go":
		return g.unsaid["go"] == 0 && c.Step == g.step+2
	case "arm":
		return r.number == len(g.ranks)-1 && (g.unsaid["go"] == 0 || g.step < g.lateStep)
	}
	return false
}

// applyLate carries out an order that got no answer.
func (g *Group) applyLate(r *rank, c command) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.world.Log("rank %d carries %s out late: %d", r.number, c, g.apply(r, c))
}

// runLate carries the late go order out after some newer orders: when its time has come, some
// ranks are armed and a request waits for the pass, but at the latest after 12 s.
func (g *Group) runLate() {
	for {
		time.Sleep(time.Millisecond)
		g.mu.Lock()
		c, age := g.lateGo, time.Since(g.lateAt)
		if c == nil || age < lateLeast || age < lateMost && !(g.ranks[2].Armed != 0 && g.ranks[1].Held == c.Step && g.step+1 == c.Step && len(g.requests) > 0) {
			g.mu.Unlock()
			continue
		}
		g.lateGo = nil
		g.mu.Unlock()
		g.applyLate(g.ranks[1], *c)
	}
}

// String returns the order as it is recorded.
func (c command) String() string {
	return fmt.Sprintf("%s version %d step %d", c.Operation, c.Version, c.Step)
}

// apply carries an order out if it fits the rank's state.
func (g *Group) apply(r *rank, c command) int {
	r.refresh()
	defer r.note()
	if c.Epoch != 1 {
		return http.StatusConflict
	}
	switch c.Operation {
	case "prepare":
		return r.prepare(c)
	case "arm":
		if r.Armed == c.Version && r.ArmedStep == c.Step {
			return http.StatusOK
		}
		if r.Prepared != c.Version || c.Step <= g.step {
			return http.StatusConflict
		}
		r.Armed, r.ArmedStep = c.Version, c.Step
		return http.StatusOK
	case "disarm":
		if r.Map == c.Version {
			return http.StatusConflict
		}
		if r.Armed == c.Version {
			r.Armed, r.ArmedStep = 0, 0
		}
		return http.StatusOK
	case "hold":
		if c.Step <= g.step || r.Held != 0 && r.Held != c.Step {
			return http.StatusConflict
		}
		r.Held = c.Step
		return http.StatusOK
	case "go":
		if r.Held == c.Step {
			r.Held = 0
		}
		return http.StatusOK
	}
	return http.StatusBadRequest
}

func (r *rank) prepare(c command) int {
	switch {
	case c.Version == r.Prepared:
		return http.StatusOK
	case c.Version == r.copying:
		return http.StatusAccepted
	case c.Version <= r.had || r.Armed != 0:
		return http.StatusConflict
	}
	added := 0
	for set := range sets {
		fresh := 0
		for _, e := range c.Map[set][r.number] {
			if !contains(r.content[set][r.number], e) {
				fresh++
			}
		}
		if fresh > spare {
			return http.StatusConflict
		}
		added += fresh
	}
	r.had, r.copying, r.next, r.Prepared = c.Version, c.Version, c.Map, 0
	r.copied = time.Now().Add(time.Duration(added) * copyTime)
	r.refresh()
	return http.StatusAccepted
}

func contains(list []int, e int) bool {
	for _, other := range list {
		if other == e {
			return true
		}
	}
	return false
}

// serve runs a request for as many passes as its header says.
func (g *Group) serve(w http.ResponseWriter, q *http.Request, r *rank) {
	id := q.Header.Get("Request-Id")
	passes, _ := strconv.Atoi(q.Header.Get("Length-Hint"))
	g.mu.Lock()
	g.requests[id] = passes
	g.mu.Unlock()
	for {
		g.mu.Lock()
		_, runs := g.requests[id]
		finished := g.finished
		g.mu.Unlock()
		if !runs {
			break
		}
		select {
		case <-finished:
		case <-q.Context().Done():
			g.mu.Lock()
			delete(g.requests, id)
			g.mu.Unlock()
			return
		}
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "stamp."+id)
	fmt.Fprintf(w, "rank %d ran %s\n", r.number, id)
}

// Ask sends a request that takes some passes to a rank, and waits for its answer.
func (g *Group) Ask(to, passes int) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	q, _ := http.NewRequest(http.MethodPost, "http://"+g.ranks[to].address+"/lohu930/2f", nil)
	q.Header.Set("Request-Id", id)
	q.Header.Set("Length-Hint", strconv.Itoa(passes))
	g.world.Log("client sends %s to rank %d for %d passes", id, to, passes)
	client := http.Client{Timeout: 8 * time.Second}
	response, err := client.Do(q)
	if err != nil {
		g.world.Log("client got no answer to %s: %v", id, err)
		return
	}
	_ = response.Body.Close()
	g.world.Log("client got status %d for %s", response.StatusCode, id)
}
