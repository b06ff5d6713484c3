package ranks_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/switching"
	"hornbeamtray/steward/lead"
	"hornbeamtray/steward/ranks"
)

// groupEngines implements ranks.Engines for targets of two groups of ranks.
type groupEngines struct {
	group    map[string]string
	rank     map[string]int
	observed map[string]*atomic.Int64 // number of observations with counts, by address
}

func (g groupEngines) Engine(address string) ranks.Engine { return groupEngine{g, address} }

type groupEngine struct {
	engines groupEngines
	address string
}

func (e groupEngine) Status(context.Context) (lead.Observation, error) {
	group, found := e.engines.group[e.address]
	if !found {
		return lead.Observation{}, errors.New("unreachable")
	}
	return lead.Observation{Group: group, Pace: 2, Status: switching.Status{Rank: e.engines.rank[e.address], Size: groupRanks, Epoch: 4, Open: true, Map: 9}}, nil
}

func (e groupEngine) StatusWithLists(ctx context.Context) (lead.Observation, error) {
	return e.Status(ctx)
}

func (e groupEngine) Observe(ctx context.Context) (lead.Observation, error) {
	e.engines.observed[e.address].Add(1)
	o, err := e.Status(ctx)
	o.Counts = []uint64{1}
	return o, err
}

func (e groupEngine) Counts(ctx context.Context) ([]uint64, error) {
	o, err := e.Observe(ctx)
	return o.Counts, err
}

func (e groupEngine) Order(context.Context, switching.Order) (switching.Result, error) {
	return switching.Done, nil
}

// groupRanks is the number of ranks of each group; it is more than a leader asks for
// counts.
const groupRanks = 16

// TestTwoGroups checks that a leader spends nothing on the ranks of another group of
// its service: once it knows them it observes only its own group, and only ranks of
// its own group report counts. If half of those that report belonged to the other
// group, the demand would be measured on half as many requests.
func TestTwoGroups(t *testing.T) {
	first, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := first.Addr().(*net.TCPAddr).Port
	engines := groupEngines{group: map[string]string{}, rank: map[string]int{}, observed: map[string]*atomic.Int64{}}
	var targets listing
	client := wire.NewClient()
	t.Cleanup(func() { _ = client.Close() })
	var leader *ranks.Ranks
	for i := range 2 * groupRanks {
		ip := fmt.Sprintf("127.0.0.%d", i+1)
		address := ip + ":1"
		engines.group[address], engines.rank[address], engines.observed[address] = []string{"g", "h"}[i%2], i/2, &atomic.Int64{}
		targets = append(targets, roster.Target{ID: ip, Address: address})
	}
	for i, target := range targets {
		listener := first
		if i > 0 {
			if listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", i+1, port)); err != nil {
				t.Fatal(err)
			}
		}
		r := ranks.New(target.Address, port, engines, targets, client, time.Now)
		server := wire.NewHandlersServer(listener, r.Handlers())
		t.Cleanup(func() { _ = server.Close() })
		if i == 0 {
			leader = r
		}
	}
	own, err := leader.ObserveOwn(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		leader.ObserveAll(t.Context(), "g", own, true)
	}
	for _, count := range engines.observed {
		count.Store(0)
	}
	if observed := leader.ObserveAll(t.Context(), "g", own, true); len(observed) != groupRanks {
		t.Errorf("ObserveAll returned %d ranks, want the %d of the own group", len(observed), groupRanks)
	}
	ownReports, foreignReports := 0, 0
	for address, count := range engines.observed {
		if engines.group[address] == "g" {
			ownReports += int(count.Load())
		} else {
			foreignReports += int(count.Load())
		}
	}
	if ownReports != 11 || foreignReports != 0 {
		t.Errorf("%d other ranks of the own group and %d of the other group reported counts, want 11 and 0", ownReports, foreignReports)
	}
	if result := leader.Order(t.Context(), switching.Order{Verb: switching.Arm, Rank: 3}); result != switching.Done {
		t.Errorf("Order = %v, want Done", result)
	}
	// A steward whose target moved to another group forgets which ranks the old group
	// had: an order for one of them must not reach a rank of the old group.
	moved := own
	moved.Group, moved.Status.Rank = "i", 0
	leader.ObserveAll(t.Context(), "i", moved, false)
	if o, err := leader.ObserveRank(t.Context(), 3, false); err == nil {
		t.Errorf("ObserveRank = %+v, want an error, since rank 3 of the new group was not observed", o)
	}
}

// TestRankReport checks what a steward tells gateways of its target.
func TestRankReport(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	engines := groupEngines{group: map[string]string{"127.0.0.1:1": "g"}, rank: map[string]int{"127.0.0.1:1": 2}}
	r := ranks.New("127.0.0.1:1", 1, engines, listing{}, wire.NewClient(), time.Now)
	server := wire.NewHandlersServer(listener, r.Handlers())
	t.Cleanup(func() { _ = server.Close() })
	client := wire.NewClient()
	t.Cleanup(func() { _ = client.Close() })
	var got roster.Rank
	want := roster.Rank{Group: "g", Epoch: 4, Number: 2, Size: groupRanks, Open: true, Map: 9, Pace: 2}
	if err := client.Call(t.Context(), listener.Addr().String(), "/steward/Rank", struct{}{}, &got); err != nil || got != want {
		t.Errorf("the steward reported %+v, %v, want %+v", got, err, want)
	}
	if !r.QueriedAt().IsZero() {
		t.Error("a gateway's call counts as an observation by another steward, which keeps the guardian from acting")
	}
}
