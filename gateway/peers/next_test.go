package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hornbeamtray/core/dispatch"
)

// dividedService is a Service whose gateway is on a divided site.
type dividedService struct{ state dispatch.State }

func (s dividedService) State() dispatch.State { return s.state }

func (s dividedService) Sending() <-chan struct{}                              { return nil }
func (s dividedService) Change(func(dispatch.State, time.Time) dispatch.State) {}

// TestNextPeers checks who gets a report on a site of 60 gateways: at a send the own
// cell, and at the next tick the same gateways again, since the request may have ended,
// with some of the others in rotation.
func TestNextPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	gateways := map[string][]string{}
	statuses := map[string]peerStatus{}
	for i := range 60 {
		domain, address := fmt.Sprint("d", i%4), fmt.Sprintf("10.0.0.%d:1", i)
		gateways[domain] = append(gateways[domain], address)
		if i > 0 {
			statuses[address] = peerStatus{reportedAt: now, domain: domain}
		}
	}
	own := gateways["d0"][0]
	state := dispatch.New("g", "d0", dispatch.Bounds{}).WithDivision(dispatch.NewDivision(own, gateways))
	p := &Peers{
		address: own, service: dividedService{state}, clock: func() time.Time { return now }, seeds: func() []string { return nil },
		statuses: statuses, told: map[string]bool{},
	}
	mates := slices.DeleteFunc(state.Audience(), func(a string) bool { return a == own })
	if sent := p.nextPeers(false); !slices.Equal(sent, mates) || len(mates) != 14 {
		t.Fatalf("a send is reported to %v, want the 14 mates %v", sent, mates)
	}
	ticked := p.nextPeers(true)
	for _, mate := range mates {
		if !slices.Contains(ticked, mate) {
			t.Errorf("%s got a report of the send but none at the next tick", mate)
		}
	}
	if others := len(ticked) - len(mates); others < minRotation {
		t.Errorf("%d other peers got a report at the tick, want at least %d", others, minRotation)
	}
	if again := p.nextPeers(true); slices.Contains(again, mates[0]) && slices.Contains(again, mates[1]) && slices.Contains(again, mates[2]) && slices.Contains(again, mates[13]) {
		t.Error("all mates get a report at each tick, also without a send")
	}
}
