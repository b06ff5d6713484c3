package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/route"
)

// The platform's rule on limits, in requests.
func allowedIn4s(rate float64) int { return int(1.5*rate*4 + 5) }

// limitedSite is a number of gateways that know nothing of each other but one that keeps
// the limits of all targets.
type limitedSite struct {
	gateways []dispatch.State
	random   *rand.Rand
	arrivals map[string][]int // by target, in ms
	counted  map[string][]int // of these, from gateways that the target had told 0.5 s before or earlier
	told     map[string]int   // when a target first named a limit to a gateway, in ms
	reportAt int              // next exchange of reports, in ms
	retryAt  int              // when the waiting requests try again, in ms
	waiting  []waitingRequest
	refused  []dispatch.Admission
	waits    []time.Duration // of the refused requests
	served   map[int]int     // by priority
}

func newLimitedSite(gateways int, targets ...roster.Target) *limitedSite {
	site := &limitedSite{random: rand.New(rand.NewPCG(1, 1)), arrivals: map[string][]int{}, counted: map[string][]int{}, told: map[string]int{}, served: map[int]int{}}
	for i := range gateways {
		site.gateways = append(site.gateways, listed(dispatch.New(fmt.Sprint("g", i), "d1", bounds), 9, 0, targets...))
	}
	return site
}

// report has each gateway get the reports of some peers, once per 400 ms.
func (l *limitedSite) report(ms int) {
	const peers = 4
	if ms < l.reportAt || len(l.gateways) == 1 {
		return
	}
	l.reportAt = ms + 400
	for i := range l.gateways {
		for range peers {
			peer := l.gateways[l.random.IntN(len(l.gateways))]
			l.gateways[i] = l.gateways[i].WithPeerLimits(peer.Limits(true, at(ms)), at(ms))
		}
	}
}

// waitingRequest is a request at a gateway of the site.
type waitingRequest struct {
	gateway   int
	admission dispatch.Admission
}

// send has a request of a priority arrive at a gateway, and all that wait try to get a
// target. The targets' answers name rate, which is negative for no limit.
func (l *limitedSite) send(gateway, priority, ms int, rate float64) {
	l.report(ms)
	a := dispatch.Admission{Service: "s", Priority: priority, Arrived: at(ms), Deadline: at(ms + 600)}
	l.waiting = append(l.waiting, waitingRequest{gateway, a})
	if ms < l.retryAt { // those that wait try again every 50 ms
		last := &l.waiting[len(l.waiting)-1]
		if !l.attempt(last, ms, rate) {
			l.waiting = l.waiting[:len(l.waiting)-1]
		}
		return
	}
	l.retryAt = ms + 50
	still := l.waiting[:0]
	for _, w := range l.waiting {
		if l.attempt(&w, ms, rate) {
			still = append(still, w)
		}
	}
	l.waiting = still
}

// attempt tries to send a request, and reports whether it still waits.
func (l *limitedSite) attempt(w *waitingRequest, ms int, rate float64) bool {
	for now := ms; ; {
		state, target, refused := l.gateways[w.gateway].Choose(w.admission, nil, l.random, at(now))
		if refused != nil {
			l.gateways[w.gateway], w.admission, refused = l.gateways[w.gateway].Queue(w.admission, nil, l.random.Float64(), at(now))
			if refused != nil {
				l.refused = append(l.refused, w.admission)
				l.waits = append(l.waits, at(ms).Sub(w.admission.Arrived))
			}
			return refused == nil
		}
		if ask, needed := state.Ask(w.admission, target, at(now)); needed {
			var grant dispatch.Grant
			l.gateways[0], grant = l.gateways[0].Grant(ask, 1, at(now))
			l.gateways[w.gateway] = l.gateways[w.gateway].WithNextPermit(target.ID, grant.Next, at(now))
			if grant.Granted {
				l.gateways[w.gateway] = l.gateways[w.gateway].WithPlaceTaken(w.admission)
				w.admission, now = w.admission.WithPermit(target.ID), int(grant.Start.Sub(at(0)).Milliseconds())
			}
			continue
		}
		l.arrivals[target.ID] = append(l.arrivals[target.ID], now)
		l.served[w.admission.Priority]++
		pair := fmt.Sprint(w.gateway, target.ID)
		if told, found := l.told[pair]; !found {
			l.told[pair] = now
		} else if now-told >= 500 {
			l.counted[target.ID] = append(l.counted[target.ID], now)
		}
		if state = state.WithAttempt(target.ID, false, at(now)); rate >= 0 {
			state = state.WithLimit(target, rate, at(now))
		} else {
			state = state.WithoutLimit(target, at(now))
		}
		l.gateways[w.gateway] = state
		return false
	}
}

// mostIn4s returns the highest number of requests within 4 s that count for a target, from
// one time to another.
func (l *limitedSite) mostIn4s(target string, from, until int) int {
	most, window := 0, []int(nil)
	for _, ms := range l.counted[target] {
		if ms < from || ms >= until {
			continue
		}
		window = append(window, ms)
		for ms-window[0] > 4000 {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

// TestLimitSharedByGateways replays a demand above the limits of all targets of a service
// at many gateways, which learn of the limits from answers and peers. No target gets more than
// the platform's rule allows, and the limits are used to the full.
func TestLimitSharedByGateways(t *testing.T) {
	const seconds, demand = 30, 60 // demand in requests a second
	rates := []struct {
		name   string
		before float64
		after  float64 // from half of the time on
	}{
		{"constant", 3, 3},
		{"falling", 6, 1.5},
		{"rising", 1.5, 6},
		{"below one a second", 0.4, 0.4},
		{"none", 0, 0},
		{"high", 12, 12},
	}
	for _, gateways := range []int{1, 7, 46, 149} {
		for _, senders := range []int{1, gateways} {
			for _, tt := range rates {
				t.Run(fmt.Sprintf("%d gateways, %d with requests, %s", gateways, senders, tt.name), func(t *testing.T) {
					site := newLimitedSite(gateways, process("a", 1, 1), process("b", 1, 2), process("c", 1, 3), process("d", 1, 4))
					rate := tt.before
					for i := range seconds * demand {
						if i == seconds*demand/2 {
							rate = tt.after
						}
						site.send(gateways-1-site.random.IntN(senders), 0, i*1000/demand, rate)
					}
					got, wanted := 0, 0.0
					for id := range site.arrivals {
						for _, half := range []struct {
							from, until int
							rate        float64
						}{{3000, 15_000, tt.before}, {18_000, 30_000, tt.after}} {
							if most := site.mostIn4s(id, half.from, half.until); most > allowedIn4s(half.rate) {
								t.Errorf("target %s: %d requests in 4 s, want at most %d", id, most, allowedIn4s(half.rate))
							}
							for _, ms := range site.arrivals[id] {
								if ms >= half.from && ms < half.until {
									got++
								}
							}
							wanted += max(0, half.rate*12-1) // the first request need not come at once
						}
					}
					if float64(got) < 0.9*wanted {
						t.Errorf("%d requests reached the targets, which take %g", got, wanted)
					}
				})
			}
		}
	}
}

// TestLowestRankIsRefused checks that while the targets of a service take less than the
// demand, requests that rank lower are refused and those that rank higher are served, that
// the limits are used to the full, and that no rank starves.
func TestLowestRankIsRefused(t *testing.T) {
	site := newLimitedSite(1, process("a", 1, 1), process("b", 1, 2))
	for i := range 30 * 40 { // 10 a second of the highest rank, 30 below it, where the targets take 20
		priority := 4
		if i%4 == 0 {
			priority = 0
		}
		site.send(0, priority, i*25, 10)
	}
	if site.served[0] < 30*10*9/10 {
		t.Errorf("%d of %d requests of the highest rank were served, want nearly all", site.served[0], 30*10)
	}
	if all := site.served[0] + site.served[4]; all < 30*20*9/10 {
		t.Errorf("%d requests were served, want nearly the %d that the targets take", all, 30*20)
	}
	site = newLimitedSite(1, process("a", 1, 1), process("b", 1, 2))
	for i := range 30 * 80 { // 40 a second of the highest rank, more than the targets take
		site.send(0, 4*(i%2), i*1000/80, 10)
	}
	if site.served[4] < (site.served[0]+site.served[4])/5 {
		t.Errorf("%d requests of the lower rank were served and %d of the higher one, want about a quarter of the lower one", site.served[4], site.served[0])
	}
}

// TestRefusedAtLimits checks what a request is told whose targets are at their limits for
// longer than its caller waits for an answer: at once, and with the time of the first permit
// only if the caller can use it.
func TestRefusedAtLimits(t *testing.T) {
	both := listed(dispatch.New("g", "d1", bounds), 2, 0, process("a", 100, 1), process("b", 100, 2))
	held := both.WithLimit(process("a", 100, 1), 1, at(0)).WithLimit(process("b", 100, 2), 1, at(0)).WithNextPermit("a", at(9000), at(0)).WithNextPermit("b", at(2500), at(0))
	stream := route.Route{Kind: route.Stream}
	tests := []struct {
		name   string
		route  route.Route
		left   int
		waits  bool
		again  bool
		latest int // time to return, in ms
	}{
		{"it can wait", route.Route{}, 8000, true, false, 0},
		{"it waits less for an event", stream, 8000, false, true, 2667},
		{"it has less time", route.Route{}, 1000, false, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := dispatch.Admission{Service: "s", Route: tt.route, Arrived: at(0), Heard: at(0), Deadline: at(tt.left)}
			if _, _, refused := held.Choose(a, nil, lowestRandom{}, at(0)); refused == nil {
				t.Fatal("Choose did not refuse")
			}
			_, a, refused := held.Queue(a, nil, 0.5, at(0))
			if a.Place.Waits() != tt.waits || (refused == nil) != tt.waits {
				t.Fatalf("refusal = %v, want the request to wait: %t", refused, tt.waits)
			}
			if refused != nil && (refused.Retryable != tt.again || refused.RetryAfter > time.Duration(tt.latest)*time.Millisecond || tt.again && refused.RetryAfter == 0) {
				t.Errorf("refusal = %v with a time to return: %t, %s; want %t, at most %d ms", refused, refused.Retryable, refused.RetryAfter, tt.again, tt.latest)
			}
		})
	}
}

// TestLimitStatements checks what a gateway knows of a target's limit.
func TestLimitStatements(t *testing.T) {
	a, b := process("a", 100, 1), process("b", 100, 2)
	both := listed(dispatch.New("g", "d1", bounds), 2, 0, a, b)
	limited := both.WithLimit(a, 3, at(1000))
	restarted := a
	restarted.StartUnixMilli, restarted.Revision = 200, 9
	moved := process("c", 300, 9)
	moved.Address = a.Address
	report := limited.Limits(true, at(1100))
	tests := []struct {
		name  string
		state dispatch.State
		of    roster.Target
		want  string
	}{
		{"nothing said", both, a, "no limit"},
		{"named", limited, a, "3 requests a second"},
		{"another target", limited, b, "no limit"},
		{"falling", limited.WithLimit(a, 0.5, at(2000)), a, "0.5 requests a second"},
		{"withdrawn", limited.WithoutLimit(a, at(2000)), a, "no limit"},
		{"nothing named before", both.WithoutLimit(a, at(2000)), a, "no limit"},
		{"another process has its ID", listed(limited, 9, 3000, restarted, b), restarted, "no limit"},
		{"another target has its address", listed(limited, 9, 3000, b, moved), moved, "no limit"},
		{"a late answer of the process before", listed(both, 9, 3000, restarted, b).WithLimit(a, 3, at(3100)), restarted, "no limit"},
		{"a peer told", both.WithPeerLimits(report, at(1200)), a, "3 requests a second"},
		{"a peer told of the process before", listed(both, 9, 3000, restarted, b).WithPeerLimits(report, at(3100)), restarted, "no limit"},
		{"a peer told what is older", both.WithoutLimit(a, at(1500)).WithLimit(a, 5, at(1500)).WithoutLimit(a, at(2500)).WithPeerLimits(report, at(2600)), a, "no limit"},
		{"a peer told of a withdrawal", limited.WithPeerLimits(both.WithLimit(a, 3, at(1)).WithoutLimit(a, at(9000)).Limits(true, at(9000)), at(9100)), a, "no limit"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.state.Limit(tt.of).String(); got != tt.want {
				t.Errorf("limit is %s, want %s", got, tt.want)
			}
		})
	}
}

// TestReportedLimitsDoNotCirculate checks that a gateway reports only what targets said to
// itself: what it heard from peers would grow younger on the way.
func TestReportedLimitsDoNotCirculate(t *testing.T) {
	a := process("a", 100, 1)
	first := listed(dispatch.New("g", "d1", bounds), 2, 0, a).WithLimit(a, 3, at(1000))
	second := listed(dispatch.New("h", "d1", bounds), 2, 0, a).WithPeerLimits(first.Limits(true, at(1000)), at(1000))
	if got := second.Limits(true, at(1000)); len(got) != 0 {
		t.Errorf("reports %v, want nothing", got)
	}
}

// TestKeeperKnowsTheLaterLimit checks by which limit a keeper answers if it and the asking
// gateway know different ones.
func TestKeeperKnowsTheLaterLimit(t *testing.T) {
	a := process("a", 100, 1)
	none := listed(dispatch.New("k", "d1", bounds), 2, 0, a)
	named := func(rate float64, ms int) dispatch.Limit { return dispatch.Limit{Rate: rate, Named: true, At: at(ms)} }
	tests := []struct {
		name    string
		keeper  dispatch.State
		asked   dispatch.Limit
		started int64
		want    time.Duration // between permits
	}{
		{"the keeper knows none", none, named(0.5, 1000), 100, 2 * time.Second},
		{"the keeper knows an older one", none.WithLimit(a, 0.25, at(1000)), named(0.5, 9000), 100, 2 * time.Second},
		{"the keeper knows a later one", none.WithLimit(a, 0.25, at(9000)), named(0.5, 1000), 100, 4 * time.Second},
		{"the keeper knows that it was withdrawn", none.WithLimit(a, 0.25, at(1000)).WithoutLimit(a, at(9000)), named(0.5, 1000), 100, 0},
		{"it isn't clear which one is later", none.WithLimit(a, 0.25, at(1300)), named(0.5, 1000), 100, 4 * time.Second},
		{"it isn't clear whether it was withdrawn", none.WithLimit(a, 0.25, at(500)).WithoutLimit(a, at(1300)), named(0.5, 1000), 100, 2 * time.Second},
		{"of the process before", none.WithLimit(a, 0.25, at(9000)), named(0.5, 1000), 200, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, grant := tt.keeper.Grant(dispatch.Ask{Target: "a", StartUnixMilli: tt.started, Limit: tt.asked}, 1, at(10_000))
			if got := grant.Next.Sub(at(10_000)); !grant.Granted || got != tt.want {
				t.Errorf("granted: %t, the next after %s; want the next after %s", grant.Granted, got, tt.want)
			}
		})
	}
}
