package ranks_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/switching"
	"hornbeamtray/steward/ranks"
)

const maxObservations = 50 // rounds

// startGroup starts the stewards of a group of ranks on loopback addresses and returns
// the leader's Ranks, which has observed them all.
func startGroup(t *testing.T, size int) (*fleet, *ranks.Ranks, []*wire.Server) {
	t.Helper()
	f := &fleet{ranks: map[string]int{}, orderedBy: map[int][]string{}, lost: map[int]int{}}
	var targets listing
	for i := range size {
		address := fmt.Sprintf("127.0.0.%d:1", i+1)
		f.ranks[address] = i
		targets = append(targets, roster.Target{ID: address, Address: address})
	}
	client := wire.NewClient()
	t.Cleanup(func() { _ = client.Close() })
	var leader *ranks.Ranks
	var servers []*wire.Server
	port := 0
	for i, target := range targets {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", i+1, port))
		if err != nil {
			t.Fatal(err)
		}
		port = listener.Addr().(*net.TCPAddr).Port
		r := ranks.New(target.Address, port, fleetEngines{f, fmt.Sprint("steward ", i)}, targets, client, time.Now)
		server := wire.NewHandlersServer(listener, r.Handlers())
		t.Cleanup(func() { _ = server.Close() })
		servers = append(servers, server)
		if i == 0 {
			leader = r
		}
	}
	own, err := leader.ObserveOwn(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	// A steward that does not answer in time is queried again.
	for range maxObservations {
		if len(leader.ObserveAll(t.Context(), "g", own, true)) == size {
			return f, leader, servers
		}
	}
	t.Fatalf("the leader did not observe all %d ranks in %d rounds", size, maxObservations)
	return nil, nil, nil
}

// prepareOrders returns the orders to all ranks of a group to prepare a map.
func prepareOrders(size int) []switching.Order {
	var orders []switching.Order
	for rank := range size {
		orders = append(orders, switching.Order{Verb: switching.Prepare, Rank: rank, Epoch: 1, Version: 2, Map: switching.Map{{{1}}}})
	}
	return orders
}

// TestRelayedOrders checks that a map reaches every rank of a large group once, from
// the steward beside the rank, whatever way it takes.
func TestRelayedOrders(t *testing.T) {
	for _, size := range []int{3, 24, 25, 60, 129} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f, leader, _ := startGroup(t, size)
			for rank, result := range leader.Orders(t.Context(), prepareOrders(size)) {
				if result != switching.Done {
					t.Errorf("the result of rank %d is %v, want Done", rank, result)
				}
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			for rank := range size {
				if by := f.orderedBy[rank]; len(by) != 1 || by[0] != fmt.Sprint("steward ", rank) {
					t.Errorf("rank %d received orders from %q, want one from its own steward", rank, by)
				}
			}
		})
	}
}

// TestRelayStops checks that orders whose relay stopped are reported as unanswered and
// succeed when they are sent again, apart from those of ranks that can't be reached.
func TestRelayStops(t *testing.T) {
	const size, stopped = 60, 10
	f, leader, servers := startGroup(t, size)
	for _, server := range servers[size-stopped:] {
		_ = server.Close()
	}
	pending := prepareOrders(size)
	for range 12 {
		var next []switching.Order
		for i, result := range leader.Orders(t.Context(), pending) {
			if result != switching.Done {
				next = append(next, pending[i])
			}
		}
		pending = next
	}
	for _, o := range pending {
		t.Errorf("rank %d has not accepted the order", o.Rank)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for rank := range size {
		if len(f.orderedBy[rank]) == 0 {
			t.Errorf("rank %d received no order", rank)
		}
	}
}
