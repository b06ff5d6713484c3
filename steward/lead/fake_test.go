package lead

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hornbeamtray/core/route"
	"hornbeamtray/core/switching"
)

var shape = route.Engine{Layers: 1, Experts: 4, MaxExpertsPerRank: 2, MaxNewExperts: 2}

// fakeGroup is a fake of a group of three ranks.
type fakeGroup struct {
	mu            sync.Mutex
	ranks         []fakeRank      // guarded by mu
	step          uint64          // guarded by mu
	leaderFrozen  bool            // guarded by mu; rank 0's instance is frozen
	switches      int             // guarded by mu; number of switches to another map
	mixed         bool            // guarded by mu; whether a pass began on two maps
	dueAt         time.Time       // guarded by mu; when the held pass was due; zero if it isn't
	delays        []time.Duration // guarded by mu; of the passes that were held when they were due
	releasedAt    time.Time       // guarded by mu; of the last pass that was released before it was due
	waits         []time.Duration // guarded by mu; from the release of those passes until they began
	silentRank    int             // guarded by mu; rank whose steward does not answer, 0 for none
	directQueries int             // guarded by mu; direct queries of silentRank
	random        *rand.Rand      // guarded by mu; draws the experts of the tokens, nil for exactly those that run gets
	onHold        func()          // called at a Hold order, with mu locked
	stopped       chan struct{}
}

type fakeRank struct {
	status    switching.Status
	nextLists [][]int
	lists     [][]int
	counts    []uint64
	queriedAt time.Time
}

func newGroup(counts []uint64) *fakeGroup {
	g := &fakeGroup{stopped: make(chan struct{})}
	for rank := range 3 {
		g.ranks = append(g.ranks, fakeRank{
			status: switching.Status{Rank: rank, Size: 3, Epoch: 1, Open: true},
			lists:  [][]int{{[]int{0, 1, 2}[rank]}}, counts: slices.Clone(counts),
		})
	}
	g.ranks[0].lists = [][]int{{0, 3}}
	return g
}

// run begins a pass every 50 ms and then adds tokens, which holds a number for each
// expert, to the counts of every rank.
func (g *fakeGroup) run(tokens []uint64) { g.runEvery(50*time.Millisecond, tokens) }

func (g *fakeGroup) runEvery(interval time.Duration, tokens []uint64) {
	for {
		select {
		case <-g.stopped:
			return
		case <-time.After(interval):
		}
		g.mu.Lock()
		g.beginPass()
		for r := range g.ranks {
			for e, n := range g.drawn(tokens) {
				g.ranks[r].counts[e] += n
			}
		}
		g.mu.Unlock()
	}
}

// drawn returns as many tokens, of experts that are drawn with the same shares.
func (g *fakeGroup) drawn(tokens []uint64) []uint64 {
	if g.random == nil {
		return tokens
	}
	var choices []int
	for e, n := range tokens {
		choices = append(choices, slices.Repeat([]int{e}, int(n))...)
	}
	drawn := make([]uint64, len(tokens))
	for range choices {
		drawn[choices[g.random.IntN(len(choices))]]++
	}
	return drawn
}

func (g *fakeGroup) setRandom(random *rand.Rand) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.random = random
}

func (g *fakeGroup) beginPass() {
	for _, r := range g.ranks {
		if r.status.Held == g.step+1 {
			if g.dueAt.IsZero() {
				g.dueAt = time.Now()
			}
			return
		}
	}
	g.step++
	for i := range g.ranks {
		r := &g.ranks[i]
		r.status.Step = g.step
		if r.status.Armed != 0 && r.status.ArmedStep == g.step {
			r.status.Map, r.status.Armed, r.status.ArmedStep, r.status.Prepared = r.status.Armed, 0, 0, 0
			r.lists = r.nextLists
			if i == 0 {
				g.switches++
				if !g.releasedAt.IsZero() {
					g.waits, g.releasedAt = append(g.waits, time.Since(g.releasedAt)), time.Time{}
				}
			}
		}
		g.mixed = g.mixed || r.status.Map != g.ranks[0].status.Map
	}
}

// isSilent reports whether a rank's steward does not answer.
func (g *fakeGroup) isSilent(rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silentRank == rank && rank != 0
}

// result returns the number of switches, and whether a pass began on two maps.
func (g *fakeGroup) result() (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.switches, g.mixed
}

func (g *fakeGroup) order(o switching.Order) switching.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.ranks[o.Rank]
	if g.leaderFrozen && o.Rank == 0 {
		return switching.Unanswered
	}
	switch o.Verb {
	case switching.Prepare:
		r.status.Prepared, r.nextLists = o.Version, [][]int{o.Map[0][o.Rank]}
		return switching.InProgress
	case switching.Arm:
		if r.status.Prepared != o.Version || o.Step <= g.step {
			return switching.Refused
		}
		r.status.Armed, r.status.ArmedStep = o.Version, o.Step
	case switching.Disarm:
		r.status.Armed, r.status.ArmedStep = 0, 0
	case switching.Hold:
		if o.Step <= g.step {
			return switching.Refused
		}
		r.status.Held = o.Step
		if g.onHold != nil {
			g.onHold()
		}
	case switching.Release:
		r.status.Held = 0
		if !g.dueAt.IsZero() {
			g.delays, g.dueAt = append(g.delays, time.Since(g.dueAt)), time.Time{}
		} else if g.releasedAt.IsZero() {
			g.releasedAt = time.Now()
		}
	}
	return switching.Done
}

// view is the group as seen by the steward beside one rank.
type view struct {
	group *fakeGroup
	rank  int
}

var errNoAnswer = errors.New("no answer")

func (v view) observe(rank int) (Observation, error) {
	v.group.mu.Lock()
	defer v.group.mu.Unlock()
	if v.group.leaderFrozen && (rank == 0) != (v.rank == 0) {
		return Observation{}, errNoAnswer
	}
	r := &v.group.ranks[rank]
	if rank != v.rank {
		r.queriedAt = time.Now()
	}
	return Observation{Group: "g", Status: r.status, Busy: 1, Counts: slices.Clone(r.counts), Lists: r.lists}, nil
}

func (v view) ObserveOwn(context.Context) (Observation, error) { return v.observe(v.rank) }

func (v view) OwnCounts(context.Context) ([]uint64, error) {
	o, err := v.observe(v.rank)
	return o.Counts, err
}

func (v view) ObserveRank(_ context.Context, rank int, lists bool) (Observation, error) {
	o, err := v.observe(rank)
	if !v.group.isSilent(rank) {
		return o, err
	}
	o.Direct, o.Counts = true, nil
	if !lists {
		o.Lists = nil
	}
	v.group.mu.Lock()
	defer v.group.mu.Unlock()
	v.group.directQueries++
	return o, err
}

func (v view) ObserveAll(context.Context, string, Observation, bool) map[int]Observation {
	all := map[int]Observation{}
	for rank := range 3 {
		if o, err := v.observe(rank); err == nil && !v.group.isSilent(rank) {
			all[rank] = o
		}
	}
	return all
}

func (v view) QueriedAt() time.Time {
	v.group.mu.Lock()
	defer v.group.mu.Unlock()
	return v.group.ranks[v.rank].queriedAt
}

func (v view) Orders(_ context.Context, orders []switching.Order) []switching.Result {
	results := make([]switching.Result, len(orders))
	for i, o := range orders {
		results[i] = v.group.order(o)
	}
	return results
}
