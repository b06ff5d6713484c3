package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// The number of expert sets and, for each set, the number of experts, the most
	// experts on a rank, and the most experts that a new map may add to a rank.
	sets, experts, slotsPerRank, maxNewPerRank = 2, 12, 4, 2

	passTime = 20 * time.Millisecond  // from the beginning of a pass to the next
	copyTime = 60 * time.Millisecond  // from the order to prepare a map until the rank is prepared
	formTime = 300 * time.Millisecond // from a crash until the group forms again
)

// placement is a map of the group: placement[set][rank] lists the experts on a rank.
type placement [][][]int

// rank is the state of one server of the group, as the platform describes it.
type rank struct {
	version, highestVersion uint64    // of currentMap, and of the newest map prepared so far
	lists                   [][]int   // experts on this rank, by set
	prepared                uint64    // version of preparedMap; 0 if none
	copyDone                time.Time // when preparedMap is copied
	armed, armedStep        uint64    // version of the map to switch to, and the pass that switches; 0 if none
	held                    uint64    // pass that may not begin; 0 if none
	counts                  []uint64  // how often requests chose each expert since the group formed, set by set
	currentMap, preparedMap placement
	reported                map[string]any // report for clients at other IPs, up to 200 ms old
	reportedAt              time.Time
}

// group simulates the ranks of an expert group, and checks that all ranks begin a pass
// on the same map.
type group struct {
	mu         sync.Mutex
	ranks      []*rank    // guarded by mu
	epoch      uint64     // guarded by mu
	step       uint64     // guarded by mu; number of the last pass
	open       bool       // guarded by mu; false from a crash until the group forms again
	mapChanges int        // guarded by mu
	violations []string   // guarded by mu
	rng        *rand.Rand // guarded by mu
	lateShare  float64    // guarded by mu; fraction of orders that get no answer and are executed up to 3 s later
	hotExpert  int        // guarded by mu; expert (hotExpert+s)%experts has the highest load in set s
	passBegan  time.Time  // guarded by mu; when the last pass began
	done       chan struct{}
}

func newGroup(size int, rng *rand.Rand) *group {
	g := &group{ranks: make([]*rank, size), rng: rng, done: make(chan struct{})}
	g.form()
	return g
}

// form opens the group in a new epoch on map 0. The caller holds mu, except in
// newGroup.
func (g *group) form() {
	g.epoch++
	first := make(placement, sets)
	for s := range first {
		first[s] = make([][]int, len(g.ranks))
		for e := range experts {
			first[s][e%len(g.ranks)] = append(first[s][e%len(g.ranks)], e)
		}
	}
	for i := range g.ranks {
		g.ranks[i] = &rank{currentMap: first, lists: listsOf(first, i), counts: make([]uint64, sets*experts)}
	}
	g.open = true
}

// listsOf returns the experts of one rank, by set.
func listsOf(p placement, rank int) [][]int {
	var lists [][]int
	for _, set := range p {
		lists = append(lists, set[rank])
	}
	return lists
}

// crash breaks the group if it is open. The group forms again after formTime.
func (g *group) crash() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open {
		return
	}
	g.open = false
	time.AfterFunc(formTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.form()
	})
}

// run begins a pass every passTime until done is closed.
func (g *group) run() {
	ticker := time.NewTicker(passTime)
	defer ticker.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-ticker.C:
			g.pass()
		}
	}
}

// pass begins the next pass, unless the group is broken or a rank holds the pass.
// Ranks that are armed for it switch to their prepared map first.
func (g *group) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.step + 1
	if !g.open || slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.held == next }) {
		return
	}
	g.step, g.passBegan = next, time.Now()
	changed := false
	for i, r := range g.ranks {
		if r.armed != 0 && r.armedStep == next {
			r.version, r.currentMap, r.lists = r.armed, r.preparedMap, listsOf(r.preparedMap, i)
			r.armed, r.armedStep, r.prepared, changed = 0, 0, 0, true
		}
		for s := range sets {
			r.counts[s*experts+(g.hotExpert+s)%experts] += 40
			for e := range experts {
				r.counts[s*experts+e] += 4
			}
		}
	}
	if changed {
		g.mapChanges++
	}
	for i, r := range g.ranks {
		if r.version != g.ranks[0].version || fmt.Sprint(r.currentMap) != fmt.Sprint(g.ranks[0].currentMap) {
			g.violations = append(g.violations, fmt.Sprintf("MAP: pass %d begins with rank 0 on map %d and rank %d on map %d", next, g.ranks[0].version, i, r.version))
		}
	}
}

// report writes the state of a rank. A client at the rank's own IP, such as its
// steward, gets the current state; others get a snapshot that is up to 200 ms old.
func (g *group) report(w http.ResponseWriter, index int, own bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, state := g.ranks[index], "open"
	if !g.open {
		state = "broken"
	}
	now := time.Now()
	fresh := map[string]any{
		"group": map[string]any{"name": "g", "epoch": g.epoch, "rank": index, "state": state}, "size": len(g.ranks), "running": 1, "pace": 1,
		"step": g.step, "map": r.version, "held": r.held,
	}
	if r.prepared != 0 && now.After(r.copyDone) {
		fresh["prepared"] = r.prepared
	}
	if r.armed != 0 {
		fresh["armed"] = map[string]any{"version": r.armed, "step": r.armedStep}
	}
	if r.reported == nil || now.Sub(r.reportedAt) > 200*time.Millisecond {
		r.reported, r.reportedAt = fresh, now
	}
	if !own {
		fresh = r.reported
	}
	_ = json.NewEncoder(w).Encode(fresh)
}

// picked writes the step, the epoch, and how often requests chose each expert since the
// group formed. If lists is set, picked instead writes the version of the rank's current
// map and the experts that this map places on the rank, by set.
func (g *group) picked(w http.ResponseWriter, index int, lists bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[index]
	answer := map[string]any{"step": g.step, "epoch": g.epoch, "counts": r.counts}
	if lists {
		answer = map[string]any{"map": map[string]any{"version": r.version, "experts": r.lists}}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// order is the body of an order from a steward to a rank.
type order struct {
	Operation string    `json:"operation"`
	Version   uint64    `json:"version"`
	Epoch     uint64    `json:"epoch"`
	Step      uint64    `json:"step"`
	Map       placement `json:"map"`
}

// order executes an order. Some get no answer and are executed later (see lateShare).
func (g *group) order(w http.ResponseWriter, r *http.Request, index int) {
	var o order
	text, _ := io.ReadAll(r.Body)
	if json.Unmarshal(text, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	late := g.rng.Float64() < g.lateShare
	after := time.Duration(g.rng.IntN(3000)) * time.Millisecond
	g.mu.Unlock()
	if late {
		time.AfterFunc(after, func() { g.execute(o, index) })
		<-r.Context().Done()
		return
	}
	w.WriteHeader(g.execute(o, index))
}

// execute executes an order on a rank and returns the HTTP status.
func (g *group) execute(o order, index int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[index]
	if !g.open || o.Epoch != g.epoch {
		return http.StatusConflict
	}
	switch o.Operation {
	case "prepare":
		return g.prepare(o, index)
	case "arm":
		if o.Version != r.prepared || time.Now().Before(r.copyDone) || o.Step <= g.step {
			return http.StatusConflict
		}
		r.armed, r.armedStep = o.Version, o.Step
	case "disarm":
		if r.version == o.Version {
			return http.StatusConflict
		}
		if r.armed == o.Version {
			r.armed, r.armedStep = 0, 0
		}
	case "hold":
		if o.Step <= g.step || r.held != 0 && r.held != o.Step {
			return http.StatusConflict
		}
		r.held = o.Step
	case "go":
		if r.held == o.Step {
			r.held = 0
		}
	}
	return http.StatusOK
}

// prepare checks the map of an order and starts to copy it. The caller holds mu.
func (g *group) prepare(o order, index int) int {
	r := g.ranks[index]
	if o.Version == r.prepared {
		return http.StatusOK
	}
	if o.Version <= r.highestVersion || r.armed != 0 || len(o.Map) != sets {
		return http.StatusConflict
	}
	for s, set := range o.Map {
		added, placed := 0, map[int]bool{}
		for _, list := range set {
			for _, e := range list {
				placed[e] = true
			}
		}
		for _, e := range set[index] {
			if !slices.Contains(r.lists[s], e) {
				added++
			}
		}
		if len(placed) != experts || added > maxNewPerRank || len(set[index]) > slotsPerRank {
			g.violations = append(g.violations, fmt.Sprintf("ORDER: map %d is invalid: set %d is %v", o.Version, s, set))
			return http.StatusConflict
		}
	}
	r.highestVersion, r.prepared, r.preparedMap, r.copyDone = o.Version, o.Version, o.Map, time.Now().Add(copyTime)
	return http.StatusAccepted
}

// stalled reports whether the group is open and its last pass began more than limit
// ago.
func (g *group) stalled(limit time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open && time.Since(g.passBegan) > limit
}
