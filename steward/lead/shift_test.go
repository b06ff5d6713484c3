package lead

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/switching"
)

// The demands of the tests, in tokens of each expert per pass.
var (
	firstDemand  = []uint64{48, 4, 4, 48}
	secondDemand = []uint64{4, 96, 4, 4}
	thirdDemand  = []uint64{4, 4, 96, 4}
)

const (
	shortPass = 10 * time.Millisecond // demand can shift at any point of a measurement
	longPass  = 120 * time.Millisecond
)

// shiftingRanks is a view of a group whose demand shifts. It records the first Prepare
// order of a new version after the last shift, and how often the ranks were observed.
type shiftingRanks struct {
	copyingRanks
	lead *Lead

	mu         sync.Mutex
	shiftedAt  time.Time     // of the last shift; guarded by mu
	version    uint64        // highest that was ordered; guarded by mu
	orderedAt  time.Time     // first Prepare order of a new version after the last shift; guarded by mu
	load       []float64     // demand that it was for; guarded by mu
	next       switching.Map // that it carried; guarded by mu
	observed   int           // calls of ObserveAll; guarded by mu
	withCounts int           // of these, those that requested counts; guarded by mu
	onCounts   func()        // called once at a call that requests counts, before it; guarded by mu
	unreadable bool          // whether the own rank's counts can't be read; guarded by mu
}

func (r *shiftingRanks) OwnCounts(ctx context.Context) ([]uint64, error) {
	o, err := r.ObserveOwn(ctx)
	if o.Counts == nil {
		err = errNoAnswer
	}
	return o.Counts, err
}

func (r *shiftingRanks) ObserveOwn(ctx context.Context) (Observation, error) {
	o, err := r.copyingRanks.ObserveOwn(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreadable {
		o.Counts = nil
	}
	return o, err
}

func (r *shiftingRanks) Orders(ctx context.Context, orders []switching.Order) []switching.Result {
	if o := orders[0]; o.Verb == switching.Prepare {
		r.mu.Lock()
		if o.Version > r.version && r.orderedAt.IsZero() {
			r.orderedAt, r.load, r.next = time.Now(), slices.Clone(r.lead.demand.demands[0].Load), o.Map
		}
		r.version = max(r.version, o.Version)
		r.mu.Unlock()
	}
	return r.copyingRanks.Orders(ctx, orders)
}

func (r *shiftingRanks) ObserveAll(ctx context.Context, group string, own Observation, counts bool) map[int]Observation {
	r.mu.Lock()
	r.observed++
	onCounts := func() {}
	if counts {
		r.withCounts++
		if r.onCounts != nil {
			onCounts, r.onCounts = r.onCounts, nil
		}
	}
	r.mu.Unlock()
	onCounts()
	all := r.copyingRanks.ObserveAll(ctx, group, own, counts)
	all[own.Status.Rank] = own
	for rank, o := range all {
		if rank != own.Status.Rank && !counts {
			o.Counts = nil
		}
		all[rank] = o
	}
	return all
}

// shift changes the demand.
func (r *shiftingRanks) shift(tokens, demand []uint64) {
	r.group.mu.Lock()
	copy(tokens, demand)
	r.group.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shiftedAt, r.orderedAt = time.Now(), time.Time{}
}

// startShifting starts a leader of a group with the first demand.
func startShifting(passTime, copyTime time.Duration) (r *shiftingRanks, tokens []uint64, stop func()) {
	tokens = slices.Clone(firstDemand)
	r = &shiftingRanks{copyingRanks: copyingRanks{view: view{newGroup(make([]uint64, 4)), 0}, copyTime: copyTime, onFirst: func() {}}}
	go r.group.runEvery(passTime, tokens)
	r.lead = &Lead{ranks: r, shapes: fixedShape{}, meter: discard{}, journal: discard{}, clock: time.Now}
	r.lead.tomb.Go(r.lead.run)
	return r, tokens, func() {
		_ = r.lead.Close()
		close(r.group.stopped)
		time.Sleep(copyTime)
	}
}

// check checks that the first Prepare order after the last shift came in time and was
// for that demand alone, which has one hot expert.
func (r *shiftingRanks) check(t *testing.T, demand []uint64) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orderedAt.IsZero() {
		t.Fatal("no new map was ordered after the shift")
	}
	after := r.orderedAt.Sub(r.shiftedAt)
	t.Logf("the first new map was ordered %s after the shift", after)
	if after > 300*time.Millisecond {
		t.Errorf("the first new map was ordered %s after the shift, want at most 300ms", after)
	}
	total, distance := uint64(0), 0.0
	for _, n := range demand {
		total += n
	}
	for e, n := range demand {
		distance += math.Abs(r.load[e]-float64(n)/float64(total)) / 2
	}
	if distance > 1e-9 {
		t.Errorf("the first new map is for demand %.3f, of which %.0f%% is of earlier demand", r.load, 100*distance)
	}
	hot := slices.Index(demand, slices.Max(demand))
	for rank, list := range r.next[0] {
		if !slices.Contains(list, hot) {
			t.Errorf("the first new map has %v on rank %d, want the hot expert %d on every rank", list, rank, hot)
		}
	}
}

// TestShift guards against a plan for a mixture of the demands before and after a shift,
// which is followed by another one, and against a plan that is late.
func TestShift(t *testing.T) {
	for _, passTime := range []time.Duration{shortPass, longPass} {
		for offset := time.Duration(0); offset < measureInterval; offset += 35 * time.Millisecond {
			t.Run(fmt.Sprintf("idle, %s, passes of %s", offset, passTime), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { shiftWhileIdle(t, passTime, offset) })
			})
			t.Run(fmt.Sprintf("copying, %s, passes of %s", offset, passTime), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { shiftWhileRanksCopy(t, passTime, offset) })
			})
		}
	}
}

func shiftWhileIdle(t *testing.T, passTime, offset time.Duration) {
	ranks, tokens, stop := startShifting(passTime, 450*time.Millisecond)
	defer stop()
	time.Sleep(4*time.Second + offset)
	ranks.shift(tokens, secondDemand)
	time.Sleep(time.Second)
	ranks.check(t, secondDemand)
}

func shiftWhileRanksCopy(t *testing.T, passTime, offset time.Duration) {
	ranks, tokens, stop := startShifting(passTime, 450*time.Millisecond)
	defer stop()
	time.Sleep(4 * time.Second)
	ranks.shift(tokens, secondDemand)
	for ordered := false; !ordered; {
		time.Sleep(time.Millisecond)
		ranks.mu.Lock()
		ordered = !ranks.orderedAt.IsZero()
		ranks.mu.Unlock()
	}
	time.Sleep(offset)
	ranks.shift(tokens, thirdDemand)
	time.Sleep(time.Second)
	ranks.check(t, thirdDemand)
}

// TestSteadyDemand guards against detection that costs messages between instances while
// the demand does not shift: a measurement every 250 ms, and no other round. The counts
// have sampling noise.
func TestSteadyDemand(t *testing.T) {
	const seconds = 20
	synctest.Test(t, func(t *testing.T) {
		ranks, tokens, stop := startShifting(shortPass, 50*time.Millisecond)
		defer stop()
		ranks.group.setRandom(rand.New(rand.NewPCG(3, 5)))
		time.Sleep(4 * time.Second)
		observed, withCounts := ranks.observations()
		time.Sleep(seconds * time.Second)
		observedLater, withCountsLater := ranks.observations()
		t.Logf("%d observations of all ranks in %d s, %d with counts", observedLater-observed, seconds, withCountsLater-withCounts)
		if rounds, counts := observedLater-observed, withCountsLater-withCounts; rounds > 4*seconds || counts > 4*seconds {
			t.Errorf("the ranks were observed %d times in %d s, %d times with counts; want at most %d times", rounds, seconds, counts, 4*seconds)
		}
		// After a shift there are two more readings, of which one takes the place of
		// the measurement that was discarded.
		_, before := ranks.observations()
		ranks.shift(tokens, thirdDemand)
		time.Sleep(3 * time.Second)
		_, after := ranks.observations()
		t.Logf("%d with counts in the 3 s after a shift", after-before)
		if after-before > 4*3+2 {
			t.Errorf("the ranks reported counts %d times in the 3 s after a shift, want at most %d times", after-before, 4*3+2)
		}
	})
}

func (r *shiftingRanks) observations() (all, withCounts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.observed, r.withCounts
}

// TestShiftWhileRanksAnswerSlowly guards against a measurement that ends with counts of
// both demands, since the demand shifted while the ranks were queried for them.
func TestShiftWhileRanksAnswerSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ranks, tokens, stop := startShifting(shortPass, 50*time.Millisecond)
		defer stop()
		time.Sleep(4 * time.Second)
		ranks.mu.Lock()
		ranks.onCounts = func() {
			time.Sleep(20 * time.Millisecond)
			ranks.shift(tokens, secondDemand)
			time.Sleep(150 * time.Millisecond)
		}
		ranks.mu.Unlock()
		time.Sleep(2 * time.Second)
		ranks.check(t, secondDemand)
	})
}

// TestShiftWithoutOwnCounts guards against a leader that measures nothing if it can't read
// its own rank's counts.
func TestShiftWithoutOwnCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ranks, tokens, stop := startShifting(shortPass, 50*time.Millisecond)
		defer stop()
		ranks.mu.Lock()
		ranks.unreadable = true
		ranks.mu.Unlock()
		time.Sleep(4*time.Second + 100*time.Millisecond)
		ranks.shift(tokens, secondDemand)
		time.Sleep(3 * time.Second)
		if holders := ranks.group.holders(1); holders < 2 {
			t.Errorf("3 s after the shift, %d rank holds the hot expert, want 2 or more", holders)
		}
	})
}
