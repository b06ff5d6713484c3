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
	"hornbeamtray/core/roster"
	"hornbeamtray/gateway/follow"
	"hornbeamtray/gateway/peers"
)

// service is a gateway's state that a test changes.
type service struct {
	mu    sync.Mutex
	state dispatch.State // guarded by mu
	sent  chan struct{}  // guarded by mu
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

// send has the gateway send one request.
func (s *service) send(t *testing.T) {
	t.Helper()
	s.Change(func(state dispatch.State, now time.Time) dispatch.State {
		state, _, refused := state.Choose(dispatch.Admission{Service: "s"}, nil, first{}, now)
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

type first struct{}

func (first) IntN(int) int { return 0 }

type gateway struct {
	service *service
	mirror  *follow.Mirror
	peers   *peers.Peers
	address string
}

// start starts a gateway that knows one seed.
func start(t *testing.T, name, seed string) gateway {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	state := dispatch.New(name, "d", dispatch.Bounds{}).WithUpdate(dispatch.Update{
		Targets: []roster.Target{{ID: "a", Service: "s", Slots: 4, Revision: 1}, {ID: "b", Service: "s", Slots: 4, Revision: 2}},
	}, time.Now())
	g := gateway{service: &service{state: state, sent: make(chan struct{})}, mirror: follow.NewMirror(), address: listener.Addr().String()}
	client := wire.NewClient()
	seeds := func() []string {
		if seed == "" {
			return nil
		}
		return []string{seed, "127.0.0.1:1"} // one seed is down
	}
	g.peers = peers.New(name, g.address, seeds, client, g.service, follow.NewInbox(g.mirror, g.service, decode, time.Now), time.Now)
	server := wire.NewHandlersServer(listener, g.peers.Handlers())
	t.Cleanup(func() {
		_ = server.Close()
		_ = g.peers.Close()
		_ = client.Close()
	})
	return g
}

func decode(batch follow.Batch, _ time.Time) dispatch.Update {
	return dispatch.Update{Revision: batch.Revision, ReadAt: batch.ReadAt}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("it never came about that " + what)
}

// chosen is the target that a gateway would choose next.
func chosen(g gateway) string {
	_, target, _ := g.service.State().Choose(dispatch.Admission{Service: "s"}, nil, first{}, time.Now())
	return target.ID
}

// TestLoads has gateways that know one of them only hear of each other's sends.
func TestLoads(t *testing.T) {
	one := start(t, "one", "")
	two, three := start(t, "two", one.address), start(t, "three", one.address)
	two.service.send(t) // to a, the first of equal ones
	eventually(t, "the seed knows of the send", func() bool { return chosen(one) == "b" })
	eventually(t, "a gateway that the seed introduced knows of the send", func() bool { return chosen(three) == "b" })
}

func TestRelay(t *testing.T) {
	one := start(t, "one", "")
	two := start(t, "two", one.address)
	if _, found := two.peers.FetchNewest(t.Context(), 0); found {
		t.Error("a peer relayed though it never listed the store")
	}
	read := time.Now().Add(-time.Second)
	one.mirror.Apply(follow.Batch{Complete: true, Revision: 7, ReadAt: read, Items: []follow.Item{
		{Key: "x", Value: []byte("1"), Revision: 5}, {Key: "y", Value: []byte("2"), Revision: 7},
	}})
	batch, found := two.peers.FetchNewest(t.Context(), 5)
	if !found || batch.Revision != 7 || len(batch.Items) != 1 || batch.Items[0].Key != "y" {
		t.Errorf("relayed is %+v, %t", batch, found)
	}
	if batch.ReadAt.After(read) {
		t.Errorf("what was read at %v is relayed as of %v", read, batch.ReadAt)
	}
}

// TestFewRead has ten gateways read the store until each knows that enough of the
// others do, and then the readers stop one after another.
func TestFewRead(t *testing.T) {
	seed := start(t, "0", "")
	gateways := []gateway{seed}
	for i := range 9 {
		gateways = append(gateways, start(t, strconv.Itoa(i+1), seed.address))
	}
	stopped := map[string]bool{}
	reading := func() int {
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
	eventually(t, "six read", func() bool { return reading() == 6 })
	for range 4 {
		for _, g := range gateways {
			if !stopped[g.address] && !g.peers.EnoughReaders() {
				stopped[g.address] = true
				g.mirror.SetStoreAccess(follow.StoreAccess{LastRead: time.Now(), LastFailure: time.Now()})
				break
			}
		}
		eventually(t, "another one reads instead", func() bool { return reading() == 6 })
	}
}

// TestOutage has peers tell of an outage of the store: removals are believed at
// once where a peer that reads it saw none.
func TestOutage(t *testing.T) {
	later := time.Now().Add(time.Hour) // as if it were just now all the time
	saw := follow.StoreAccess{LastRead: later.Add(time.Minute), LastFailure: later}
	tests := []struct {
		name   string
		other  follow.StoreAccess
		lapses bool
	}{
		{"seen by all who read", saw, true},
		{"not seen by one who reads", follow.StoreAccess{LastRead: later}, false},
		{"still there for another", follow.StoreAccess{LastFailure: later}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			seed := start(t, "seed", "")
			other := start(t, "other", seed.address)
			other.mirror.SetStoreAccess(tt.other)
			other.service.send(t)
			eventually(t, "the other one is heard", func() bool { return chosen(seed) == "b" })
			time.Sleep(time.Second) // what it told before it knew how it fares is forgotten
			one := start(t, "one", seed.address)
			one.mirror.SetStoreAccess(saw)
			eventually(t, "the other one's send is known", func() bool { return chosen(one) == "b" })
			one.service.send(t)
			eventually(t, "the one is heard", func() bool { return chosen(seed) == "a" })
			r := seed.service.State().Roster.WithRemoved("a", 9, time.Now())
			if lapses := len(r.Serving("s", time.Now())) == 2; lapses != tt.lapses {
				t.Errorf("the removal may be a lapse: %t, want %t", lapses, tt.lapses)
			}
		})
	}
}

// TestGreetingsAreFew counts how often gateways of a large site are greeted: what
// one says must not grow with their number, and nobody may be left out.
func TestGreetingsAreFew(t *testing.T) {
	const size = 40
	var mu sync.Mutex
	greeted := map[int]int{} // by the peer's index
	var addresses []string
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := wire.NewHandlersServer(listener, wire.Handlers{"/gateway/Greet": func(_ context.Context, read func(any) error) (any, error) {
			mu.Lock()
			defer mu.Unlock()
			greeted[i]++
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
	for _, n := range greeted {
		total += n
	}
	if len(greeted) != size || total > 7*24 {
		t.Errorf("%d of %d peers were greeted, %d times in all, want all and at most 24 a round", len(greeted), size, total)
	}
}

// crowd starts peers that read the store and know revision 7, and returns their
// addresses. Relays of what they know are answered by relay.
func crowd(t *testing.T, size int, relay wire.Handler) []string {
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

// TestOnePeerIsAskedForNews has many peers tell of the same news at once: it is
// asked for once, and again only after a failure. One who can't get it reads the
// store.
func TestOnePeerIsAskedForNews(t *testing.T) {
	long := []byte(strings.Repeat(`{"host": "a.example", "path_prefix": "/"}`, 10_000))
	tests := []struct {
		name   string
		fails  bool
		asked  int32 // at most, in two seconds
		spared bool
	}{
		{"answered", false, 1, true},
		{"not answered", true, 10, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var asked atomic.Int32
			source := start(t, "source", "")
			source.mirror.Apply(follow.Batch{Complete: true, Revision: 7, ReadAt: time.Now(), Items: []follow.Item{{Key: "op/config", Value: long, Revision: 7}}})
			addresses := crowd(t, 20, func(ctx context.Context, read func(any) error) (any, error) {
				asked.Add(1)
				time.Sleep(50 * time.Millisecond)
				if tt.fails {
					return nil, errors.New("not now")
				}
				return source.peers.Handlers()["/gateway/Relay"](ctx, read)
			})
			s := &service{state: dispatch.New("one", "d", dispatch.Bounds{}), sent: make(chan struct{})}
			client, mirror := wire.NewClient(), follow.NewMirror()
			const own = "127.0.0.1:6" // comes late in the order of those who read
			p := peers.New("one", own, func() []string { return addresses }, client, s, follow.NewInbox(mirror, s, decode, time.Now), time.Now)
			defer client.Close()
			defer p.Close()
			time.Sleep(2 * time.Second)
			batch, _ := mirror.Since(0)
			if known := len(batch.Items) == 1 && bytes.Equal(batch.Items[0].Value, long); known == tt.fails || asked.Load() > tt.asked {
				t.Errorf("known %t after %d questions, want at most %d", known, asked.Load(), tt.asked)
			}
			if spared := p.EnoughReaders(); spared != tt.spared {
				t.Errorf("spared is %t, want %t", spared, tt.spared)
			}
		})
	}
}

// TestLearn has one gateway read the store for others.
func TestLearn(t *testing.T) {
	one := start(t, "one", "")
	two := start(t, "two", one.address)
	read := time.Now()
	one.mirror.Apply(follow.Batch{Complete: true, Revision: 7, ReadAt: read, Items: []follow.Item{{Key: "x", Revision: 7}}})
	eventually(t, "the other gateway has the item", func() bool { return two.mirror.Revision() == 7 })
	if at := two.mirror.SyncedAt(); at.After(read) || !two.service.State().SyncedAt.Equal(at) {
		t.Errorf("what was read at %v counts as of %v, proved %v", read, at, two.service.State().SyncedAt)
	}
	again := time.Now()
	one.mirror.Apply(follow.Batch{Revision: 7, ReadAt: again})
	eventually(t, "the other gateway has the newer proof", func() bool { return two.mirror.SyncedAt().After(read) })
	if two.mirror.SyncedAt().After(again) {
		t.Error("the proof is taken for newer than it is")
	}
}
