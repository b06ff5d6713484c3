package peers_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/dispatch"
	"hornbeamtray/gateway/follow"
	"hornbeamtray/gateway/peers"
)

// service is a fake peers.Service. Tests change its state.
type service struct {
	mu    sync.Mutex
	state dispatch.State // guarded by mu
	sent  chan struct{}  // guarded by mu; closed when the next request is about to be sent
}

func (s *service) State() dispatch.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *service) Sending() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

func (s *service) Change(change func(dispatch.State, time.Time) dispatch.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = change(s.state, time.Now())
}

// send adds one request in flight to the state, and signals that it is about to
// be sent.
func (s *service) send(t *testing.T) {
	t.Helper()
	s.Change(func(state dispatch.State, now time.Time) dispatch.State {
		state, _, refused := state.Choose(dispatch.Admission{Service: "s"}, nil, zeroRand{}, now)
		if refused != nil {
			t.Error(refused)
		}
		return state
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.sent)
	s.sent = make(chan struct{})
}

type zeroRand struct{}

func (zeroRand) IntN(int) int { return 0 }

func decode(batch follow.Batch, _ time.Time) dispatch.Update {
	return dispatch.Update{Revision: batch.Revision, ReadAt: batch.ReadAt}
}

// eventually waits until a condition holds. It fails the test after 10 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("timed out waiting until " + what)
}

// nextTarget returns the ID of the target that a gateway would choose next.
func nextTarget(g gateway) string {
	_, target, _ := g.service.State().Choose(dispatch.Admission{Service: "s"}, nil, zeroRand{}, time.Now())
	return target.ID
}

// TestLoads checks that gateways that share only a seed learn of each other's
// requests in flight.
func TestLoads(t *testing.T) {
	one := startGateway(t, "one", "")
	two, three := startGateway(t, "two", one.address), startGateway(t, "three", one.address)
	two.service.send(t) // to a, the first of two equal targets
	eventually(t, "the seed has counted the request in flight", func() bool { return nextTarget(one) == "b" })
	eventually(t, "a gateway with the same seed has counted the request in flight", func() bool { return nextTarget(three) == "b" })
}

// TestDividedSite checks that on a site with many gateways those of a cell learn of each
// other's requests when they are sent, and of their end soon after: a short request must
// not count until the gateway's next turn in the rotation of all peers.
func TestDividedSite(t *testing.T) {
	const gateways = 15
	first := startGateway(t, "first", "")
	all := []gateway{first}
	for i := range gateways - 1 {
		all = append(all, startGateway(t, "other "+strconv.Itoa(i), first.address))
	}
	eventually(t, "all gateways know their cell", func() bool {
		for _, g := range all {
			if len(g.service.State().Audience()) != gateways {
				return false
			}
		}
		return true
	})
	all[3].service.send(t) // to a, the first of two equal targets
	eventually(t, "the cell has counted the request in flight", func() bool {
		for _, g := range all {
			if nextTarget(g) != "b" {
				return false
			}
		}
		return true
	})
	ended := time.Now()
	all[3].service.Change(func(s dispatch.State, now time.Time) dispatch.State {
		return s.WithResponse("a").WithAttempt("a", false, now)
	})
	eventually(t, "the cell knows that the request ended", func() bool {
		for _, g := range all {
			if nextTarget(g) != "a" {
				return false
			}
		}
		return true
	})
	if took := time.Since(ended); took > 1500*time.Millisecond {
		t.Errorf("the cell learned after %s that the request ended, want two ticks and a margin for a busy machine", took)
	}
}

func TestFetchNewest(t *testing.T) {
	one := startGateway(t, "one", "")
	two := startGateway(t, "two", one.address)
	if _, found := two.peers.FetchNewest(t.Context(), 0); found {
		t.Error("a peer that never listed the store supplied changes")
	}
	read := time.Now().Add(-time.Second)
	one.mirror.Apply(follow.Batch{Complete: true, Revision: 7, ReadAt: read, Items: []follow.Item{
		{Key: "x", Value: []byte("1"), Revision: 5}, {Key: "y", Value: []byte("2"), Revision: 7},
	}})
	batch, found := two.peers.FetchNewest(t.Context(), 5)
	if !found || batch.Revision != 7 || len(batch.Items) != 1 || batch.Items[0].Key != "y" {
		t.Errorf("FetchNewest returned %+v, %t", batch, found)
	}
	if batch.ReadAt.After(read) {
		t.Errorf("what was read at %v is fetched with read time %v", read, batch.ReadAt)
	}
}

// TestFewRead starts ten gateways, of which six must come to read the store.
// Then readers fail to read it one after another, and another gateway must take
// over each time.
func TestFewRead(t *testing.T) {
	seed := startGateway(t, "0", "")
	gateways := []gateway{seed}
	for i := range 9 {
		gateways = append(gateways, startGateway(t, strconv.Itoa(i+1), seed.address))
	}
	stopped := map[string]bool{}
	countReaders := func() int {
		n := 0
		for _, g := range gateways {
			reads := !stopped[g.address] && !g.peers.EnoughReaders()
			if reads {
				g.mirror.SetStoreAccess(follow.StoreAccess{LastRead: time.Now()})
				n++
			}
		}
		return n
	}
	eventually(t, "six gateways read the store", func() bool { return countReaders() == 6 })
	for range 4 {
		for _, g := range gateways {
			if !stopped[g.address] && !g.peers.EnoughReaders() {
				stopped[g.address] = true
				g.mirror.SetStoreAccess(follow.StoreAccess{LastRead: time.Now(), LastFailure: time.Now()})
				break
			}
		}
		eventually(t, "another gateway reads instead", func() bool { return countReaders() == 6 })
	}
}

// TestOutage checks that a target whose entry is removed from the store keeps
// serving after peers report an outage, in which the entry may have expired, but
// not if a peer that reads the store had no outage.
func TestOutage(t *testing.T) {
	recent := time.Now().Add(time.Hour) // in the future, so that it stays recent during the test
	sawOutage := follow.StoreAccess{LastRead: recent.Add(time.Minute), LastFailure: recent}
	tests := []struct {
		name         string
		other        follow.StoreAccess
		keepsServing bool
	}{
		{"seen by all who read", sawOutage, true},
		{"not seen by one who reads", follow.StoreAccess{LastRead: recent}, false},
		{"still there for another", follow.StoreAccess{LastFailure: recent}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			seed := startGateway(t, "seed", "")
			other := startGateway(t, "other", seed.address)
			other.mirror.SetStoreAccess(tt.other)
			other.service.send(t)
			eventually(t, "the seed has the report of other", func() bool { return nextTarget(seed) == "b" })
			time.Sleep(time.Second) // until reports from before SetStoreAccess have expired
			one := startGateway(t, "one", seed.address)
			one.mirror.SetStoreAccess(sawOutage)
			eventually(t, "one has the report of other", func() bool { return nextTarget(one) == "b" })
			one.service.send(t)
			eventually(t, "the seed has the report of one", func() bool { return nextTarget(seed) == "a" })
			r := seed.service.State().Roster.WithRemoved("a", 9, time.Now())
			if keepsServing := len(r.Serving("s", time.Now())) == 2; keepsServing != tt.keepsServing {
				t.Errorf("the removed target keeps serving: %t, want %t", keepsServing, tt.keepsServing)
			}
		})
	}
}

// TestGreetingsAreFew counts the reports that one gateway of a large site
// sends: they must not grow with the number of gateways, and each gateway must
// get some.
func TestGreetingsAreFew(t *testing.T) {
	const size = 40
	var mu sync.Mutex
	reports := map[int]int{} // by the peer's index
	var addresses []string
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := wire.NewHandlersServer(listener, wire.Handlers{"/gateway/Greet": func(_ context.Context, read func(any) error) (any, error) {
			mu.Lock()
			defer mu.Unlock()
			reports[i]++
			return struct{}{}, read(&struct{}{})
		}})
		t.Cleanup(func() { _ = server.Close() })
		addresses = append(addresses, listener.Addr().String())
	}
	s := &service{state: dispatch.New("one", "d", dispatch.Bounds{}), sent: make(chan struct{})}
	client := wire.NewClient()
	p := peers.New("one", "127.0.0.1:1", func() []string { return addresses }, client, s, follow.NewInbox(follow.NewMirror(), s, decode, time.Now), time.Now)
	time.Sleep(2200 * time.Millisecond) // five or six rounds
	_, _ = p.Close(), client.Close()
	mu.Lock()
	defer mu.Unlock()
	total := 0
	for _, n := range reports {
		total += n
	}
	if len(reports) != size || total > 7*24 {
		t.Errorf("%d of %d peers got %d reports, want all peers and at most 24 in each of 7 rounds", len(reports), size, total)
	}
}

// startReaders starts peers that report that they read the store and are at
// revision 7, and returns their addresses. relay handles requests for their
// changes.
func startReaders(t *testing.T, size int, relay wire.Handler) []string {
	t.Helper()
	var addresses []string
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		server := wire.NewHandlersServer(listener, wire.Handlers{
			"/gateway/Relay": relay,
			"/gateway/Greet": func(_ context.Context, read func(any) error) (any, error) {
				return map[string]any{"name": strconv.Itoa(i), "address": address, "complete": true, "revision": 7, "age": 0, "reads": true}, read(&struct{}{})
			},
		})
		t.Cleanup(func() { _ = server.Close() })
		addresses = append(addresses, address)
	}
	return addresses
}

// TestOnePeerIsAskedForNews has many peers report the same new revision at
// once: the gateway must fetch it once, and again only after a failure. If it
// can't fetch it, it must read the store itself.
func TestOnePeerIsAskedForNews(t *testing.T) {
	long := []byte(strings.Repeat(`{"host": "a.example", "path_prefix": "/"}`, 10_000))
	tests := []struct {
		name          string
		relayFails    bool
		maxFetches    int32 // in two seconds
		enoughReaders bool
	}{
		{"answered", false, 1, true},
		{"not answered", true, 10, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var fetches atomic.Int32
			source := startGateway(t, "source", "")
			source.mirror.Apply(follow.Batch{Complete: true, Revision: 7, ReadAt: time.Now(), Items: []follow.Item{{Key: "op/config", Value: long, Revision: 7}}})
			addresses := startReaders(t, 20, func(ctx context.Context, read func(any) error) (any, error) {
				fetches.Add(1)
				time.Sleep(50 * time.Millisecond)
				if tt.relayFails {
					return nil, errors.New("unavailable")
				}
				return source.peers.Handlers()["/gateway/Relay"](ctx, read)
			})
			s := &service{state: dispatch.New("one", "d", dispatch.Bounds{}), sent: make(chan struct{})}
			client, mirror := wire.NewClient(), follow.NewMirror()
			const ownAddress = "127.0.0.1:6" // ranks after enough of the readers
			p := peers.New("one", ownAddress, func() []string { return addresses }, client, s, follow.NewInbox(mirror, s, decode, time.Now), time.Now)
			defer client.Close()
			defer p.Close()
			time.Sleep(2 * time.Second)
			batch, _ := mirror.Since(0)
			if fetched := len(batch.Items) == 1 && bytes.Equal(batch.Items[0].Value, long); fetched == tt.relayFails || fetches.Load() > tt.maxFetches {
				t.Errorf("fetched %t after %d requests, want at most %d", fetched, fetches.Load(), tt.maxFetches)
			}
			if enough := p.EnoughReaders(); enough != tt.enoughReaders {
				t.Errorf("EnoughReaders is %t, want %t", enough, tt.enoughReaders)
			}
		})
	}
}

// TestSyncFromPeer checks that a gateway takes over the items and the sync time
// of a peer that reads the store.
func TestSyncFromPeer(t *testing.T) {
	one := startGateway(t, "one", "")
	two := startGateway(t, "two", one.address)
	read := time.Now()
	one.mirror.Apply(follow.Batch{Complete: true, Revision: 7, ReadAt: read, Items: []follow.Item{{Key: "x", Revision: 7}}})
	eventually(t, "the other gateway has the item", func() bool { return two.mirror.Revision() == 7 })
	if at := two.mirror.SyncedAt(); at.After(read) || !two.service.State().SyncedAt.Equal(at) {
		t.Errorf("what was read at %v has sync time %v in the mirror and %v in the state", read, at, two.service.State().SyncedAt)
	}
	secondRead := time.Now()
	one.mirror.Apply(follow.Batch{Revision: 7, ReadAt: secondRead})
	eventually(t, "the other gateway has the later sync time", func() bool { return two.mirror.SyncedAt().After(read) })
	if two.mirror.SyncedAt().After(secondRead) {
		t.Error("the sync time is later than the read")
	}
}
