package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
)

// TestDivision checks that gateways that know the same gateways agree on the cells, and
// that the cells are of about the same size.
func TestDivision(t *testing.T) {
	tests := []struct {
		name     string
		gateways []int // by failure domain
		cells    int   // of the first failure domain; 0 if the site is not divided
	}{
		{"one", []int{1}, 0},
		{"small", []int{5, 4, 4}, 0},
		{"one more", []int{5, 5, 4}, 1},
		{"44", []int{15, 15, 14}, 1},
		{"64 in two domains", []int{32, 32}, 2},
		{"65", []int{33, 32}, 0},
		{"149", []int{30, 30, 30, 30, 29}, 0},
		{"64 in one domain", []int{64}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			gateways, all := map[string][]string{}, []string{}
			for domain, n := range tt.gateways {
				for i := range n {
					address := fmt.Sprintf("10.%d.0.%d:1", domain, i)
					gateways[fmt.Sprint(domain)], all = append(gateways[fmt.Sprint(domain)], address), append(all, address)
				}
			}
			audiences := map[string][]string{}
			for domain, list := range gateways {
				for _, own := range list {
					d := dispatch.NewDivision(own, gateways)
					if d.Divided() != (tt.cells > 0) {
						t.Fatalf("Divided = %t, want %t", d.Divided(), tt.cells > 0)
					}
					audiences[own] = dispatch.New(own, domain, bounds).WithDivision(d).Audience()
				}
			}
			cells := map[string]bool{}
			for _, own := range all[:tt.gateways[0]] {
				audience := audiences[own]
				cells[fmt.Sprint(audience)] = true
				if tt.cells > 0 && (!slices.Contains(audience, own) || len(audience) > 16 || len(audience) < tt.gateways[0]/tt.cells) {
					t.Errorf("the cell of %s has the members %v", own, audience)
				}
				for _, mate := range audience {
					if !slices.Equal(audiences[mate], audience) {
						t.Errorf("%s counts %s as of its cell, but not the reverse", own, mate)
					}
				}
			}
			if tt.cells > 0 && len(cells) != tt.cells {
				t.Errorf("%d cells, want %d", len(cells), tt.cells)
			}
		})
	}
}

// TestSmallServiceIsNotDivided guards against sending all requests of a failure domain
// for a plain service to its only target there, or to none of its own: a service with
// few targets is shared by all cells, as on a small site.
func TestSmallServiceIsNotDivided(t *testing.T) {
	gateways := map[string][]string{}
	var list []roster.Target
	for domain := range 5 {
		name := fmt.Sprint("d", domain)
		for i := range 12 {
			gateways[name] = append(gateways[name], fmt.Sprintf("10.%d.0.%d:1", domain, i))
		}
		address := fmt.Sprintf("10.%d.64.1:1", domain)
		list = append(list, roster.Target{ID: address, Service: "s", Domain: name, Address: address, Slots: 6, Revision: 1})
	}
	for domain, addresses := range gateways {
		for _, own := range addresses {
			s := dispatch.New(own, domain, bounds).WithUpdate(dispatch.Update{Targets: list, ReadAt: at(0)}, at(0)).WithDivision(dispatch.NewDivision(own, gateways))
			counts := map[string]int{}
			for range 10 {
				next, chosen, refused := s.Choose(dispatch.Admission{Service: "s"}, nil, lowestRandom{}, at(0))
				if refused != nil {
					t.Fatalf("%s refused a request while all targets are free: %v", own, refused)
				}
				s = next
				counts[chosen.ID]++
			}
			for id, n := range counts {
				if n > 3 {
					t.Errorf("%s sent %d of 10 requests to %s, want them spread over the five targets", own, n, id)
				}
			}
			if loads := s.HomeLoads(); len(loads) != 0 {
				t.Errorf("HomeLoads = %v, want none of a service that is not divided", loads)
			}
		}
	}
}

// TestPlacementOnLargeSites replays the load of a site with many gateways, each of which
// sends few requests and hears of most others' requests only after they ended: 60
// gateways before 50 targets with 6 places, four fifths of which are taken, in two
// failure domains of different load. Nearly no request may go to a target whose places
// are all taken, since places are free elsewhere.
func TestPlacementOnLargeSites(t *testing.T) {
	const (
		gateways, targets, places = 60, 50, 6
		lasts, ticks, tick        = 2000, 2400, 10 // ms
		maxQueuedPercent          = 2
	)
	random := rand.New(rand.NewPCG(1979, 4))
	var list []roster.Target
	for i := range targets {
		id := fmt.Sprintf("10.2.0.%d:1", i)
		list = append(list, roster.Target{ID: id, Service: "s", Domain: fmt.Sprint("d", i%2), Address: id, Slots: places, Revision: 1})
	}
	states, addresses := make([]dispatch.State, gateways), make([]string, gateways)
	byDomain, index := map[string][]string{}, map[string]int{}
	for i := range states {
		addresses[i] = fmt.Sprintf("10.1.0.%d:1", i)
		index[addresses[i]] = i
		byDomain[fmt.Sprint("d", i%2)] = append(byDomain[fmt.Sprint("d", i%2)], addresses[i])
	}
	for i := range states {
		states[i] = dispatch.New(addresses[i], fmt.Sprint("d", i%2), bounds).WithUpdate(dispatch.Update{Targets: list, ReadAt: at(0)}, at(0)).
			WithDivision(dispatch.NewDivision(addresses[i], byDomain))
	}
	report := func(from, to, ms int, full bool) {
		states[to] = states[to].WithPeerReport(addresses[from], states[from].Loads(), nil, at(ms))
		if full {
			states[to] = states[to].WithHomeLoads(states[from].HomeLoads(), at(ms))
		}
	}
	type run struct {
		gateway int
		target  string
	}
	running, load := map[int][]run{}, map[string]int{}
	sent, queued, refusals, spilled, spillQueued := 0, 0, 0, 0, 0
	for n := range ticks {
		ms := n * tick
		for _, r := range running[n] {
			states[r.gateway] = states[r.gateway].WithAttempt(r.target, false, at(ms))
			load[r.target]--
		}
		delete(running, n)
		for i := range states {
			if (n+i)%40 == 0 { // every 400 ms, to 24 peers
				for range 24 {
					if to := random.IntN(gateways); to != i {
						report(i, to, ms, true)
					}
				}
			}
			perSecond := 0.8 * targets * places * 1000 / lasts / gateways * []float64{0.9, 1.1}[i%2]
			if random.Float64() >= perSecond*tick/1000 {
				continue
			}
			next, chosen, refused := states[i].Choose(dispatch.Admission{Service: "s"}, nil, random, at(ms))
			if states[i] = next; refused != nil {
				refusals++
				continue
			}
			if load[chosen.ID] >= places && ms > lasts {
				queued++
				if _, home := states[i].HomeLoads()[chosen.ID]; !home {
					spillQueued++
				}
			}
			if ms > lasts {
				sent++
				if _, home := states[i].HomeLoads()[chosen.ID]; !home {
					spilled++
				}
			}
			load[chosen.ID]++
			states[i] = states[i].WithResponse(chosen.ID) // targets begin their answers soon
			running[n+lasts/tick] = append(running[n+lasts/tick], run{i, chosen.ID})
			for _, other := range states[i].Audience() {
				if index[other] != i {
					report(i, index[other], ms, false)
				}
			}
		}
	}
	t.Logf("%d requests, %d to a full target, %d refused, %d spilled %d of them queued", sent, queued, refusals, spilled, spillQueued)
	if queued*100 > maxQueuedPercent*sent || refusals*100 > sent {
		t.Errorf("of %d requests %d went to a full target and %d were refused, want at most %d%% and 1%%", sent, queued, refusals, maxQueuedPercent)
	}
}
