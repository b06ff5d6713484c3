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

// fleet is a fake of all ranks' engines, by address.
type fleet struct {
	mu     sync.Mutex
	rank   map[string]int   // by address; never written after construction
	orders map[int][]string // who ordered each rank; guarded by mu
}

// seen is the fleet as seen by one steward.
type seen struct {
	fleet *fleet
	by    string
}

func (s seen) Engine(address string) ranks.Engine { return fakeEngine{s, address} }

type fakeEngine struct {
	seen    seen
	address string
}

func (e fakeEngine) Status(context.Context) (lead.Observation, error) {
	rank, found := e.seen.fleet.rank[e.address]
	if !found {
		return lead.Observation{}, errors.New("unreachable")
	}
	return lead.Observation{Group: "g", Status: switching.Status{Rank: rank, Size: 3, Epoch: 1}}, nil
}

func (e fakeEngine) Report(ctx context.Context) (lead.Observation, error) {
	o, err := e.Status(ctx)
	o.Lists = [][]int{{1}}
	return o, err
}

func (e fakeEngine) Observe(ctx context.Context) (lead.Observation, error) {
	o, err := e.Report(ctx)
	o.Counts = []uint64{1}
	return o, err
}

func (e fakeEngine) Order(_ context.Context, o switching.Order) (switching.Result, error) {
	e.seen.fleet.mu.Lock()
	defer e.seen.fleet.mu.Unlock()
	e.seen.fleet.orders[o.Rank] = append(e.seen.fleet.orders[o.Rank], e.seen.by)
	return switching.Done, nil
}

type listing []roster.Target

func (l listing) Targets() []roster.Target { return l }

// start starts the stewards of ranks 0 and 1 on two loopback addresses; rank 2
// has none.
func start(t *testing.T) (*fleet, *ranks.Ranks, *ranks.Ranks) {
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
	f := &fleet{rank: map[string]int{"127.0.0.1:1": 0, "127.0.0.2:1": 1, "127.0.0.3:1": 2}, orders: map[int][]string{}}
	targets := listing{{ID: "a", Address: "127.0.0.1:1"}, {ID: "b", Address: "127.0.0.2:1"}, {ID: "c", Address: "127.0.0.3:1"}}
	client := wire.NewClient()
	t.Cleanup(func() { _ = client.Close() })
	beside := func(address, by string, listener net.Listener) *ranks.Ranks {
		r := ranks.New(address, port, seen{f, by}, targets, client, time.Now)
		server := wire.NewHandlersServer(listener, r.Handlers())
		t.Cleanup(func() { _ = server.Close() })
		return r
	}
	return f, beside("127.0.0.1:1", "steward 0", first), beside("127.0.0.2:1", "steward 1", second)
}

func TestAll(t *testing.T) {
	_, leader, guardian := start(t)
	own, err := leader.Own(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	all := leader.All(t.Context(), "g", own, true)
	if len(all) != 2 || all[0].Status.Rank != 0 || all[1].Status.Rank != 1 || all[1].Counts == nil {
		t.Errorf("observed are %+v, want ranks 0 and 1", all)
	}
	if guardian.Asked().IsZero() || !leader.Asked().IsZero() {
		t.Error("the guardian does not know that it was asked, or the leader believes that it was")
	}
	if len(leader.All(t.Context(), "another", own, false)) != 1 {
		t.Error("ranks of another group were observed")
	}
}

func TestOne(t *testing.T) {
	_, leader, _ := start(t)
	own, _ := leader.Own(t.Context())
	if _, err := leader.One(t.Context(), 1, false); err == nil {
		t.Error("a rank that nobody has seen was observed")
	}
	leader.All(t.Context(), "g", own, false)
	if o, err := leader.One(t.Context(), 1, false); err != nil || o.Direct || o.Status.Rank != 1 {
		t.Errorf("observation through the steward is %+v, %v", o, err)
	}
}

func TestOrder(t *testing.T) {
	tests := []struct {
		name string
		verb switching.Verb
		rank int
		by   string
	}{
		{"the own rank", switching.Arm, 0, "steward 0"},
		{"through the rank's steward", switching.Arm, 1, "steward 1"},
		{"a hold goes to the rank directly", switching.Hold, 1, "steward 0"},
		{"a release goes through its steward", switching.Release, 1, "steward 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, leader, _ := start(t)
			own, _ := leader.Own(t.Context())
			leader.All(t.Context(), "g", own, false)
			if got := leader.Order(t.Context(), switching.Order{Verb: tt.verb, Rank: tt.rank}); got != switching.Done {
				t.Errorf("result is %v", got)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if by := f.orders[tt.rank]; len(by) != 1 || by[0] != tt.by {
				t.Errorf("rank %d was ordered by %q, want once by %s", tt.rank, by, tt.by)
			}
		})
	}
}
