package survey_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/route"
	"hornbeamtray/gateway/survey"
)

// service is a fake survey.Service.
type service struct {
	mu    sync.Mutex
	state dispatch.State // guarded by mu
}

func (s *service) State() dispatch.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *service) Change(change func(dispatch.State, time.Time) dispatch.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = change(s.state, time.Now())
}

// newService returns a service that lists two targets with groups of ranks, one plain
// target, and one with a malformed address.
func newService() *service {
	state := dispatch.New("g", "d", dispatch.Bounds{}).WithUpdate(dispatch.Update{
		Books: []route.Book{route.NewBook(1, route.WithServices(route.Service{Name: "llm", Engine: route.Engine{Layers: 2}}, route.Service{Name: "plain"}))},
		Targets: []roster.Target{
			{ID: "a", Service: "llm", Address: "127.0.0.1:1", Revision: 1},
			{ID: "b", Service: "llm", Address: "127.0.0.2:1", Revision: 1},
			{ID: "c", Service: "plain", Address: "127.0.0.1:2", Revision: 1},
			{ID: "d", Service: "llm", Address: "?", Revision: 1},
		},
		ReadAt: time.Now(),
	}, time.Now())
	return &service{state: state}
}

// stewards answers calls for the ranks of targets.
type stewards struct {
	mu    sync.Mutex
	ranks []roster.Rank // guarded by mu; by steward
	calls []int         // guarded by mu; by steward
}

func (s *stewards) set(i int, rank roster.Rank) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranks[i] = rank
}

func (s *stewards) callsOf(i int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[i]
}

// startStewards starts two stewards on loopback addresses and returns their port.
func startStewards(t *testing.T) (*stewards, int) {
	t.Helper()
	s, port := &stewards{ranks: make([]roster.Rank, 2), calls: make([]int, 2)}, 0
	for i := range s.ranks {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", i+1, port))
		if err != nil {
			t.Fatal(err)
		}
		port = listener.Addr().(*net.TCPAddr).Port
		server := wire.NewHandlersServer(listener, wire.Handlers{survey.Call: func(_ context.Context, read func(any) error) (any, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.calls[i]++
			return s.ranks[i], read(&struct{}{})
		}})
		t.Cleanup(func() { _ = server.Close() })
	}
	return s, port
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("timed out waiting until " + what)
}

// TestSurvey checks that a gateway learns the groups of its targets from stewards, and
// within some rounds that a lost group formed anew.
func TestSurvey(t *testing.T) {
	fleet, port := startStewards(t)
	fleet.set(0, roster.Rank{Group: "one", Epoch: 3, Size: 8, Open: true})
	fleet.set(1, roster.Rank{Group: "two", Epoch: 5, Size: 8, Open: true})
	client := wire.NewClient()
	t.Cleanup(func() { _ = client.Close() })
	gateway := newService()
	s := survey.New("10.0.0.1:1", port, func() []string { return nil }, client, gateway, time.Now)
	t.Cleanup(func() { _ = s.Close() })
	eventually(t, "both groups are known", func() bool {
		one, _ := gateway.State().Rank("127.0.0.1:1")
		two, _ := gateway.State().Rank("127.0.0.2:1")
		return one.Rank.Group == "one" && two.Rank.Group == "two" && len(s.Reports(true)) == 2 && len(s.Reports(false)) == 2
	})
	a, _ := gateway.State().Roster.Target("a")
	gateway.Change(func(state dispatch.State, now time.Time) dispatch.State { return state.WithGroupLost(a, now) })
	if !gateway.State().Lost(a) {
		t.Fatal("the group is not lost")
	}
	callsBefore := fleet.callsOf(1)
	fleet.set(0, roster.Rank{Group: "one", Epoch: 4, Size: 8, Open: true})
	lostAt := time.Now()
	eventually(t, "the gateway learned that the group formed anew", func() bool { return !gateway.State().Lost(a) })
	if took := time.Since(lostAt); took > 900*time.Millisecond {
		t.Errorf("the gateway learned after %s that the group is back, want less than the interval for open groups", took)
	}
	if calls := fleet.callsOf(1) - callsBefore; calls > 2 {
		t.Errorf("the steward of the group that works was called %d times meanwhile, want at most 2", calls)
	}
}

// TestEachStewardIsAskedByThree checks that of many gateways, three ask each steward.
func TestEachStewardIsAskedByThree(t *testing.T) {
	const gateways = 20
	fleet, port := startStewards(t)
	fleet.set(0, roster.Rank{Group: "one", Epoch: 1, Size: 8, Open: true})
	fleet.set(1, roster.Rank{Group: "one", Epoch: 1, Number: 1, Size: 8, Open: true})
	client := wire.NewClient()
	t.Cleanup(func() { _ = client.Close() })
	var addresses []string
	for i := range gateways {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:1", i))
	}
	for _, address := range addresses {
		s := survey.New(address, port, func() []string { return addresses }, client, newService(), time.Now)
		t.Cleanup(func() { _ = s.Close() })
	}
	time.Sleep(700 * time.Millisecond) // several rounds, but less than the interval for open groups
	for i := range 2 {
		if calls := fleet.callsOf(i); calls != 3 {
			t.Errorf("steward %d was called %d times, want once by each of 3 gateways", i, calls)
		}
	}
}
