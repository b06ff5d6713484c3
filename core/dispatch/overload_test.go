package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
)

const tick = 5 // ms between two steps of an overloadedSite

// job is a request of a caller at an overloadedSite.
type job struct {
	account  string
	group    string // by which outcomes are counted
	rank     int
	gateway  int
	arrivesA int // when it arrives, in ms
	left     int // the caller's time, in ms
	claims   int // the time that the caller names; left if zero

	admission dispatch.Admission
	target    string
	startedAt int
	endsAt    int
}

// outcome counts what became of a group's requests.
type outcome struct {
	served, refused, expired int
	waits                    []int // of the served ones, in ms
	refusedAfter             []int // in ms
	retryAfter               []int // in ms; -1 for none
}

func (o outcome) servedShare() float64 {
	return float64(o.served) / float64(max(1, o.served+o.refused+o.expired))
}

func median(list []int) int {
	if len(list) == 0 {
		return 0
	}
	list = slices.Sorted(slices.Values(list))
	return list[len(list)/2]
}

// overloadedSite plays requests through gateways that tell each other of their load every
// 20 ms, to targets that work on slots requests at a time and queue the others.
type overloadedSite struct {
	gateways []dispatch.State
	targets  []roster.Target
	work     func(target string, ms int) int // how long a request takes, in ms; 0 for a target that is down
	random   *rand.Rand
	atTarget map[string][]*job
	outcomes map[string]*outcome
	idle     int // ticks in which a slot was free and a request waited for longer than 50 ms
	longest  int // queue at a gateway
}

func newOverloadedSite(gateways, targets, slots int, work func(string, int) int) *overloadedSite {
	site := &overloadedSite{work: work, random: rand.New(rand.NewPCG(43, 1)), atTarget: map[string][]*job{}, outcomes: map[string]*outcome{}}
	for i := range targets {
		site.targets = append(site.targets, roster.Target{ID: fmt.Sprint("t", i), Service: "s", Domain: "d1", Slots: slots, Address: fmt.Sprint("10.0.0.1:", i+1), Revision: uint64(i + 1)})
	}
	for i := range gateways {
		site.gateways = append(site.gateways, listed(dispatch.New(fmt.Sprint("g", i), "d1", bounds), uint64(targets), 0, site.targets...))
	}
	return site
}

func (o *overloadedSite) outcome(group string) *outcome {
	if o.outcomes[group] == nil {
		o.outcomes[group] = &outcome{}
	}
	return o.outcomes[group]
}

// play plays requests, which are sorted by arrival, until all have ended.
func (o *overloadedSite) play(jobs []*job) {
	var waiting []*job
	for ms := 0; len(jobs) > 0 || len(waiting) > 0 || o.busy(); ms += tick {
		o.finish(ms)
		if ms%20 == 0 {
			o.report(ms)
		}
		for len(jobs) > 0 && jobs[0].arrivesA <= ms {
			j := jobs[0]
			left := j.left
			if j.claims != 0 {
				left = j.claims
			}
			j.admission = dispatch.Admission{Service: "s", Priority: j.rank, Account: j.account, Arrived: at(ms), Deadline: at(ms + left)}
			waiting, jobs = append(waiting, j), jobs[1:]
		}
		o.random.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
		waiting = slices.DeleteFunc(waiting, func(j *job) bool { return !o.attempt(j, ms) })
		o.measure(waiting, ms)
	}
}

// busy reports whether a target has requests.
func (o *overloadedSite) busy() bool {
	return slices.ContainsFunc(o.targets, func(t roster.Target) bool { return len(o.atTarget[t.ID]) > 0 })
}

// attempt tries to send a request, and reports whether it still waits.
func (o *overloadedSite) attempt(j *job, ms int) bool {
	g := &o.gateways[j.gateway]
	if ms >= j.arrivesA+j.left {
		*g = g.WithoutPlace(j.admission)
		o.outcome(j.group).expired++
		return false
	}
	state, target, refused := g.Choose(j.admission, nil, o.random, at(ms))
	if refused == nil {
		*g, j.target, j.startedAt, j.endsAt = state, target.ID, ms, 0
		o.atTarget[target.ID] = append(o.atTarget[target.ID], j)
		return false
	}
	if *g, j.admission, refused = g.Queue(j.admission, nil, o.random.Float64(), at(ms)); refused == nil {
		return true
	}
	result := o.outcome(j.group)
	result.refused++
	result.refusedAfter = append(result.refusedAfter, ms-j.arrivesA)
	after := -1
	if refused.Retryable {
		after = int(refused.RetryAfter.Milliseconds())
	}
	result.retryAfter = append(result.retryAfter, after)
	return false
}

// finish starts and ends the work of the targets.
func (o *overloadedSite) finish(ms int) {
	for _, t := range o.targets {
		list := o.atTarget[t.ID]
		for i, j := range list {
			if took := o.work(t.ID, ms); i < t.Slots && j.endsAt == 0 && took > 0 {
				j.endsAt = ms + took
			}
		}
		o.atTarget[t.ID] = slices.DeleteFunc(list, func(j *job) bool {
			down := o.work(t.ID, ms) == 0
			if !down && (j.endsAt == 0 || j.endsAt > ms) {
				return false
			}
			g := &o.gateways[j.gateway]
			*g = g.WithAttempt(t.ID, down, at(ms))
			switch result := o.outcome(j.group); {
			case down || ms > j.arrivesA+j.left:
				result.expired++
			default:
				result.served++
				result.waits = append(result.waits, j.startedAt-j.arrivesA)
			}
			if !down {
				*g = g.WithAnswer("s", time.Duration(ms-j.startedAt)*time.Millisecond, at(ms))
			}
			return true
		})
	}
}

func (o *overloadedSite) report(ms int) {
	for i := range o.gateways {
		for k := range o.gateways {
			if i != k {
				o.gateways[i] = o.gateways[i].WithPeerReport(fmt.Sprint("g", k), o.gateways[k].Loads(), nil, at(ms))
			}
		}
	}
}

func (o *overloadedSite) measure(waiting []*job, ms int) {
	old := slices.ContainsFunc(waiting, func(j *job) bool { return ms-j.arrivesA > 50 })
	for _, t := range o.targets {
		if old && len(o.atTarget[t.ID]) < t.Slots && o.work(t.ID, ms) > 0 {
			o.idle++
		}
	}
	for i := range o.gateways {
		o.longest = max(o.longest, o.gateways[i].Waiting())
	}
}

func steadyWork(ms int) func(string, int) int { return func(string, int) int { return ms } }

// arrivals returns requests that arrive evenly, the groups in turn, and at the gateways at random.
func arrivals(perSecond, seconds, gateways int, groups ...job) []*job {
	random := rand.New(rand.NewPCG(7, 7))
	var jobs []*job
	for i := range perSecond * seconds {
		j := groups[i%len(groups)]
		j.arrivesA, j.gateway = i*1000/perSecond, random.IntN(gateways)
		jobs = append(jobs, &j)
	}
	return jobs
}

// TestBurstIsServed replays many callers at once, all of whom have the time to wait for
// their turn: none is refused, and the targets are never idle meanwhile.
func TestBurstIsServed(t *testing.T) {
	for _, gateways := range []int{1, 2, 7} {
		site := newOverloadedSite(gateways, 2, 4, steadyWork(200))
		var jobs []*job
		for i := range 64 {
			jobs = append(jobs, &job{gateway: i % gateways, left: 4000})
		}
		site.play(jobs)
		if got := *site.outcome(""); got.served != 64 {
			t.Errorf("%d gateways: %d served, %d refused, %d expired, want all 64 served", gateways, got.served, got.refused, got.expired)
		}
		if site.idle > 0 {
			t.Errorf("%d gateways: a slot was idle in %d steps of %d ms while requests waited", gateways, site.idle, tick)
		}
	}
}

// TestOverloadIsRefusedAtOnce replays twice the load that the targets bear. Those who can't
// be served are told so at once, the targets stay busy, and nobody is served too late.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	for _, gateways := range []int{1, 2, 7} {
		site := newOverloadedSite(gateways, 2, 4, steadyWork(200))
		site.play(arrivals(80, 10, gateways, job{left: 2000}))
		got := site.outcome("")
		t.Logf("%d gateways: %.2f served, waits %d ms, refused after %d ms, %d expired, %d idle, queue %d", gateways, got.servedShare(), median(got.waits), median(got.refusedAfter), got.expired, site.idle, site.longest)
		if share := got.servedShare(); share < 0.45 {
			t.Errorf("%d gateways: %.2f of the requests were served, want nearly the half that the targets bear", gateways, share)
		}
		if m := median(got.refusedAfter); m > tick {
			t.Errorf("%d gateways: the median refusal came after %d ms, want it at once", gateways, m)
		}
		if got.expired > 800/50 {
			t.Errorf("%d gateways: %d requests of %d ended at their deadline, want few", gateways, got.expired, 800)
		}
		if site.idle > 10_000/tick/50 {
			t.Errorf("%d gateways: slots were idle in %d steps while requests waited, want few", gateways, site.idle)
		}
	}
}

// TestNobodyGainsByWords checks that callers are served alike who differ in what they say of
// their time, in how short it is, or in how often they come: two halves of twice the load
// that the targets bear, of different accounts.
func TestNobodyGainsByWords(t *testing.T) {
	honest := job{account: "honest", group: "honest", left: 2000}
	tests := []struct {
		name  string
		other job
		times int // requests of the other account for each of the honest one
	}{
		{"nothing differs", job{left: 2000}, 1},
		{"claims more time", job{left: 2000, claims: 8000}, 1},
		{"claims less time", job{left: 2000, claims: 1000}, 1},
		{"comes four times as often", job{left: 2000}, 4},
		{"many with little time", job{left: 500}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.other.account, tt.other.group = "other", "other"
			groups := []job{honest}
			for range tt.times {
				groups = append(groups, tt.other)
			}
			site := newOverloadedSite(1, 2, 4, steadyWork(200))
			site.play(arrivals(40*len(groups), 5, 1, groups...))
			// The honest account asks for all that the targets bear, so that its fair share is half.
			got, other := site.outcome("honest"), site.outcome("other")
			t.Logf("honest %d of %d, other %d of %d", got.served, got.served+got.refused+got.expired, other.served, other.served+other.refused+other.expired)
			if fair := 5 * 40 / 2; got.served < fair*8/10 {
				t.Errorf("%d of the honest caller's requests were served and %d of the other's, want about %d", got.served, other.served, fair)
			}
		})
	}
}

// TestWrongForecasts replays a load that the targets bear, until they turn five times slower
// or half of them are down for a while. Callers are neither held to their deadlines nor all
// turned away, and after it nearly all are served again.
func TestWrongForecasts(t *testing.T) {
	during := func(ms int) bool { return ms >= 5000 && ms < 10_000 }
	tests := []struct {
		name  string
		work  func(string, int) int
		least float64 // share served meanwhile
	}{
		{"all slow", func(_ string, ms int) int {
			if during(ms) {
				return 1000
			}
			return 200
		}, 0.15},
		{"half down", func(id string, ms int) int {
			if during(ms) && id < "t2" {
				return 0
			}
			return 200
		}, 0.4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			site := newOverloadedSite(2, 4, 4, tt.work)
			jobs := arrivals(70, 20, 2, job{left: 2000})
			for _, j := range jobs {
				switch {
				case during(j.arrivesA) && j.arrivesA >= 7000:
					j.group = "meanwhile"
				case j.arrivesA >= 13_000:
					j.group = "after"
				}
			}
			site.play(jobs)
			got, after := site.outcome("meanwhile"), site.outcome("after")
			t.Logf("meanwhile %.2f served, refused after %d ms, %d expired; after it %.2f served", got.servedShare(), median(got.refusedAfter), got.expired, after.servedShare())
			if got.servedShare() < tt.least || median(got.refusedAfter) > 1000 {
				t.Errorf("%.2f served meanwhile, the others refused after %d ms; want at least %.2f, and at most half of their time", got.servedShare(), median(got.refusedAfter), tt.least)
			}
			if after.servedShare() < 0.95 {
				t.Errorf("%.2f served after it, want nearly all", after.servedShare())
			}
		})
	}
}
