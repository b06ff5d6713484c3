package lead

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/route"
	"hornbeamtray/core/switching"
)

var shape = route.Engine{Layers: 1, Experts: 4, MaxExpertsPerRank: 2, MaxNewExperts: 2}

// group is a fake group of three ranks that begins a pass each 50 ms.
type group struct {
	mu      sync.Mutex
	ranks   []fakeRank // guarded by mu
	step    uint64     // guarded by mu
	frozen  bool       // guarded by mu; rank 0's machine stands still
	maps    int        // guarded by mu; maps that came into force
	mixed   bool       // guarded by mu; a pass began on two maps
	mute    int        // guarded by mu; rank whose steward gives no answer, 0 for none
	far     int        // guarded by mu; how often that rank was asked without its steward
	onHold  func()     // called at a hold, with mu held
	stopped chan struct{}
}

type fakeRank struct {
	status switching.Status
	next   [][]int
	lists  [][]int
	counts []uint64
	asked  time.Time
}

func newGroup(counts []uint64) *group {
	g := &group{stopped: make(chan struct{})}
	for rank := range 3 {
		g.ranks = append(g.ranks, fakeRank{
			status: switching.Status{Rank: rank, Size: 3, Epoch: 1, Open: true},
			lists:  [][]int{{[]int{0, 1, 2}[rank]}}, counts: slices.Clone(counts),
		})
	}
	g.ranks[0].lists = [][]int{{0, 3}}
	return g
}

// run begins passes and counts requests for the experts in demand.
func (g *group) run(demand []uint64) {
	for {
		select {
		case <-g.stopped:
			return
		case <-time.After(50 * time.Millisecond):
		}
		g.mu.Lock()
		g.pass()
		for r := range g.ranks {
			for e, n := range demand {
				g.ranks[r].counts[e] += n
			}
		}
		g.mu.Unlock()
	}
}

func (g *group) pass() {
	for _, r := range g.ranks {
		if r.status.Held == g.step+1 {
			return
		}
	}
	g.step++
	for i := range g.ranks {
		r := &g.ranks[i]
		r.status.Step = g.step
		if r.status.Armed != 0 && r.status.ArmedStep == g.step {
			r.status.Map, r.status.Armed, r.status.ArmedStep, r.status.Prepared = r.status.Armed, 0, 0, 0
			r.lists = r.next
			if i == 0 {
				g.maps++
			}
		}
		g.mixed = g.mixed || r.status.Map != g.ranks[0].status.Map
	}
}

// isMute reports whether a rank's steward gives no answer.
func (g *group) isMute(rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mute == rank && rank != 0
}

// result returns how many maps came into force, and whether a pass began on two.
func (g *group) result() (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.maps, g.mixed
}

func (g *group) order(o switching.Order) switching.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.ranks[o.Rank]
	if g.frozen && o.Rank == 0 {
		return switching.Unanswered
	}
	switch o.Verb {
	case switching.Prepare:
		r.status.Prepared, r.next = o.Version, [][]int{o.Map[0][o.Rank]}
		return switching.Begun
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
	}
	return switching.Done
}

// view is the group as seen by the steward beside one rank.
type view struct {
	group *group
	rank  int
}

var errSilent = errors.New("no answer")

func (v view) observe(rank int) (Observation, error) {
	v.group.mu.Lock()
	defer v.group.mu.Unlock()
	if v.group.frozen && (rank == 0) != (v.rank == 0) {
		return Observation{}, errSilent
	}
	r := &v.group.ranks[rank]
	if rank != v.rank {
		r.asked = time.Now()
	}
	return Observation{Group: "g", Status: r.status, Busy: 1, Counts: slices.Clone(r.counts), Lists: r.lists}, nil
}

func (v view) Own(context.Context) (Observation, error) { return v.observe(v.rank) }

func (v view) One(_ context.Context, rank int, lists bool) (Observation, error) {
	o, err := v.observe(rank)
	if !v.group.isMute(rank) {
		return o, err
	}
	o.Direct, o.Counts = true, nil
	if !lists {
		o.Lists = nil
	}
	v.group.mu.Lock()
	defer v.group.mu.Unlock()
	v.group.far++
	return o, err
}

func (v view) All(context.Context, string, Observation, bool) map[int]Observation {
	all := map[int]Observation{}
	for rank := range 3 {
		if o, err := v.observe(rank); err == nil && !v.group.isMute(rank) {
			all[rank] = o
		}
	}
	return all
}

func (v view) Asked() time.Time {
	v.group.mu.Lock()
	defer v.group.mu.Unlock()
	return v.group.ranks[v.rank].asked
}

func (v view) Order(_ context.Context, o switching.Order) switching.Result { return v.group.order(o) }

type known struct{}

func (known) Shape() (route.Engine, bool) { return shape, true }

type quiet struct{}

func (quiet) Inc(string, string)            {}
func (quiet) Gauge(string, float64)         {}
func (quiet) Observe(string, time.Duration) {}
func (quiet) Event(string, ...any)          {}

func TestSkewedDemandIsPlacedAnew(t *testing.T) {
	tests := []struct {
		name   string
		demand []uint64
		mute   int // rank whose steward gives no answer, 0 for none
		maps   bool
	}{
		{"even", []uint64{5, 10, 10, 5}, 0, false},
		{"one hot expert", []uint64{60, 5, 5, 60}, 0, true},
		{"even, a rank without a steward", []uint64{5, 10, 10, 5}, 2, false},
		{"one hot expert, a rank without a steward", []uint64{60, 5, 5, 60}, 2, true},
		{"one hot expert, the holder without a steward", []uint64{60, 5, 5, 60}, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(make([]uint64, 4))
				g.mute = tt.mute
				go g.run(tt.demand)
				l := New(view{g, 0}, known{}, quiet{}, quiet{}, time.Now)
				time.Sleep(5 * time.Second)
				_ = l.Close()
				close(g.stopped)
				if maps, mixed := g.result(); mixed || (maps > 0) != tt.maps {
					t.Errorf("%d maps came into force, mixed %t, want any %t and none mixed", maps, mixed, tt.maps)
				}
				if !tt.maps && g.far > 7 {
					t.Errorf("a rank was asked %d times from afar in 5 s in which nothing was to be done, want one a second", g.far)
				}
			})
		})
	}
}

// TestGuardian freezes the leader's machine as a pass is held: the guardian lets
// the group go on within a second and a half, and the leader does no harm when
// it is back.
func TestGuardian(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(make([]uint64, 4))
		g.onHold = func() { g.frozen, g.onHold = true, nil }
		leader := &pausable{view: view{g, 0}}
		go g.run([]uint64{60, 5, 5, 60})
		first := New(leader, known{}, quiet{}, quiet{}, time.Now)
		second := New(view{g, 1}, known{}, quiet{}, quiet{}, time.Now)
		for {
			time.Sleep(10 * time.Millisecond)
			g.mu.Lock()
			frozen := g.frozen
			g.mu.Unlock()
			if frozen {
				break
			}
		}
		g.mu.Lock()
		held := g.ranks[1].status.Held
		g.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		g.mu.Lock()
		if g.ranks[1].status.Held != 0 || g.step <= held {
			t.Errorf("the group stands still at pass %d", g.step)
		}
		g.frozen = false
		g.mu.Unlock()
		time.Sleep(5 * time.Second)
		_, _ = first.Close(), second.Close()
		close(g.stopped)
		if maps, mixed := g.result(); mixed || maps == 0 {
			t.Errorf("%d maps came into force after the pause, mixed %t", maps, mixed)
		}
	})
}

// pausable is the leader's view: it stands still while its machine is frozen.
type pausable struct{ view }

func (p *pausable) wait() {
	for {
		p.group.mu.Lock()
		frozen := p.group.frozen
		p.group.mu.Unlock()
		if !frozen {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *pausable) Own(ctx context.Context) (Observation, error) {
	p.wait()
	return p.view.Own(ctx)
}

func (p *pausable) One(ctx context.Context, rank int, lists bool) (Observation, error) {
	p.wait()
	return p.view.One(ctx, rank, lists)
}

func (p *pausable) Order(ctx context.Context, o switching.Order) switching.Result {
	result := p.view.Order(ctx, o)
	p.wait()
	return result
}

func TestReachable(t *testing.T) {
	observed := map[int]Observation{1: {Lists: [][]int{{0, 1}}}, 2: {Lists: [][]int{{2}}}}
	got := reachable(observed, 3, shape)
	if !slices.Equal(got[0][0], []int{3}) || !slices.Equal(got[0][1], []int{0, 1}) || !slices.Equal(got[0][2], []int{2}) {
		t.Errorf("map is %v, want what no other rank holds at rank 0", got)
	}
}
