package ranks_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/switching"
	"hornbeamtray/steward/lead"
	"hornbeamtray/steward/ranks"
)

// fleet is a fake of the engines of all ranks.
type fleet struct {
	mu        sync.Mutex
	ranks     map[string]int   // rank by address; never written after construction
	orderedBy map[int][]string // names of the stewards that sent the orders, by rank; guarded by mu
	lost      map[int]int      // number of the next orders that get no answer, by rank; guarded by mu
}

// fleetEngines implements ranks.Engines for one steward.
type fleetEngines struct {
	fleet   *fleet
	steward string
}

func (f fleetEngines) Engine(address string) ranks.Engine { return fakeEngine{f, address} }

type fakeEngine struct {
	engines fleetEngines
	address string
}

func (e fakeEngine) Status(context.Context) (lead.Observation, error) {
	rank, found := e.engines.fleet.ranks[e.address]
	if !found {
		return lead.Observation{}, errors.New("unreachable")
	}
	return lead.Observation{Group: "g", Status: switching.Status{Rank: rank, Size: 3, Epoch: 1}}, nil
}

func (e fakeEngine) StatusWithLists(ctx context.Context) (lead.Observation, error) {
	o, err := e.Status(ctx)
	o.Lists = [][]int{{1}}
	return o, err
}

func (e fakeEngine) Observe(ctx context.Context) (lead.Observation, error) {
	o, err := e.StatusWithLists(ctx)
	o.Counts = []uint64{1}
	return o, err
}

func (e fakeEngine) Counts(ctx context.Context) ([]uint64, error) {
	o, err := e.Observe(ctx)
	return o.Counts, err
}

func (e fakeEngine) Order(ctx context.Context, o switching.Order) (switching.Result, error) {
	if e.engines.fleet.record(o.Rank, e.engines.steward) {
		<-ctx.Done()
		return switching.Unanswered, ctx.Err()
	}
	return switching.Done, nil
}

// record records an order, and reports whether it gets no answer.
func (f *fleet) record(rank int, steward string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orderedBy[rank] = append(f.orderedBy[rank], steward)
	lost := f.lost[rank] > 0
	if lost {
		f.lost[rank]--
	}
	return lost
}

type listing []roster.Target

func (l listing) Targets() []roster.Target { return l }

// startStewards starts the stewards of ranks 0 and 1 on two loopback addresses; rank 2
// has none.
func startStewards(t *testing.T) (*fleet, *ranks.Ranks, *ranks.Ranks) {
	t.Helper()
	first, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := first.Addr().(*net.TCPAddr).Port
	second, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2), Port: port})
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{ranks: map[string]int{"127.0.0.1:1": 0, "127.0.0.2:1": 1, "127.0.0.3:1": 2}, orderedBy: map[int][]string{}, lost: map[int]int{}}
	targets := listing{{ID: "a", Address: "127.0.0.1:1"}, {ID: "b", Address: "127.0.0.2:1"}, {ID: "c", Address: "127.0.0.3:1"}}
	client := wire.NewClient()
	t.Cleanup(func() { _ = client.Close() })
	startSteward := func(address, name string, listener net.Listener) *ranks.Ranks {
		r := ranks.New(address, port, fleetEngines{f, name}, targets, client, time.Now)
		server := wire.NewHandlersServer(listener, r.Handlers())
		t.Cleanup(func() { _ = server.Close() })
		return r
	}
	return f, startSteward("127.0.0.1:1", "steward 0", first), startSteward("127.0.0.2:1", "steward 1", second)
}

func TestObserveAll(t *testing.T) {
	_, leader, guardian := startStewards(t)
	own, err := leader.ObserveOwn(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	all := leader.ObserveAll(t.Context(), "g", own, true)
	if len(all) != 2 || all[0].Status.Rank != 0 || all[1].Status.Rank != 1 || all[1].Counts == nil {
		t.Errorf("ObserveAll = %+v, want ranks 0 and 1, the latter with counts", all)
	}
	if guardian.QueriedAt().IsZero() || !leader.QueriedAt().IsZero() {
		t.Error("guardian.QueriedAt() is zero or leader.QueriedAt() is not, after the leader queried the guardian")
	}
	if len(leader.ObserveAll(t.Context(), "another", own, false)) != 1 {
		t.Error("ObserveAll returned ranks of another group")
	}
}

func TestObserveRank(t *testing.T) {
	_, leader, _ := startStewards(t)
	own, _ := leader.ObserveOwn(t.Context())
	if _, err := leader.ObserveRank(t.Context(), 1, false); err == nil {
		t.Error("ObserveRank returned no error for a rank whose address is not known")
	}
	leader.ObserveAll(t.Context(), "g", own, false)
	if o, err := leader.ObserveRank(t.Context(), 1, false); err != nil || o.Direct || o.Status.Rank != 1 {
		t.Errorf("ObserveRank = %+v, %v; want rank 1, observed through its steward", o, err)
	}
}

func TestOrder(t *testing.T) {
	tests := []struct {
		name    string
		verb    switching.Verb
		rank    int
		steward string
	}{
		{"an order to the own rank is sent directly", switching.Arm, 0, "steward 0"},
		{"an order to another rank is sent through its steward", switching.Arm, 1, "steward 1"},
		{"a hold is sent to the rank directly", switching.Hold, 1, "steward 0"},
		{"a release is sent through the rank's steward", switching.Release, 1, "steward 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, leader, _ := startStewards(t)
			own, _ := leader.ObserveOwn(t.Context())
			leader.ObserveAll(t.Context(), "g", own, false)
			if got := leader.Order(t.Context(), switching.Order{Verb: tt.verb, Rank: tt.rank}); got != switching.Done {
				t.Errorf("Order = %v, want Done", got)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if stewards := f.orderedBy[tt.rank]; len(stewards) != 1 || stewards[0] != tt.steward {
				t.Errorf("rank %d received orders from %q, want one from %s", tt.rank, stewards, tt.steward)
			}
		})
	}
}

// TestOrderWithoutAnswer guards against a switch that waits for a whole timeout for each order
// that an engine leaves unanswered, and against a Hold that is sent twice, since a late one keeps
// a pass from beginning.
func TestOrderWithoutAnswer(t *testing.T) {
	experts := switching.Map{{{0}, {1}, {2}}}
	tests := []struct {
		name   string
		order  switching.Order
		lost   int
		want   switching.Result
		orders int
	}{
		{"prepare", switching.Order{Verb: switching.Prepare, Version: 2, Map: experts}, 1, switching.Done, 2},
		{"prepare, twice", switching.Order{Verb: switching.Prepare, Version: 2, Map: experts}, 2, switching.Done, 3},
		{"arm", switching.Order{Verb: switching.Arm, Version: 2, Step: 9}, 2, switching.Done, 3},
		{"disarm", switching.Order{Verb: switching.Disarm, Version: 2}, 1, switching.Unanswered, 1},
		{"release", switching.Order{Verb: switching.Release, Step: 9}, 1, switching.Unanswered, 1},
		{"hold, which the leader sends itself", switching.Order{Verb: switching.Hold, Step: 9}, 1, switching.Unanswered, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, leader, _ := startStewards(t)
			own, err := leader.ObserveOwn(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			for range maxObservations {
				if len(leader.ObserveAll(t.Context(), "g", own, true)) == 2 {
					break
				}
			}
			f.mu.Lock()
			f.lost[1] = tt.lost
			f.mu.Unlock()
			tt.order.Rank, tt.order.Epoch = 1, 1
			result := leader.Order(t.Context(), tt.order)
			f.mu.Lock()
			defer f.mu.Unlock()
			if result != tt.want || len(f.orderedBy[1]) != tt.orders {
				t.Errorf("the result is %d after %d orders, want %d after %d", result, len(f.orderedBy[1]), tt.want, tt.orders)
			}
		})
	}
}
