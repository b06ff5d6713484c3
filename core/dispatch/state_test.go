package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/route"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var bounds = dispatch.Bounds{Proof: 4400 * time.Millisecond, ColdOvershoot: 1.5, ColdSlack: 5}

// fixed always draws the lowest number.
type fixed struct{}

func (fixed) IntN(int) int { return 0 }

func book(version uint64, keys ...string) route.Book {
	return route.NewBook(version,
		route.WithRoutes(
			route.Route{Name: "r", Host: "h", Prefix: "/r/", Kind: route.Once, Timeout: 600 * time.Millisecond, Priority: 2, Attempts: 1, Shares: []route.Share{{Service: "s", Weight: 1}}},
			route.Route{Name: "open", Host: "h", Prefix: "/open/", Public: true, Timeout: time.Second, Shares: []route.Share{{Service: "s", Weight: 1}}},
		),
		route.WithServices(route.Service{Name: "s"}, route.Service{Name: "cold", ColdRate: 38}),
		route.WithAccount(route.Account{Name: "acme", Priority: 1, Ranked: true}, keys...),
	)
}

func state() dispatch.State {
	s := dispatch.New("g", "d1", bounds).WithNews(dispatch.News{
		Books: []route.Book{book(5, "k")},
		Targets: []roster.Target{
			{ID: "a", Service: "s", Domain: "d1", Slots: 2, Revision: 1},
			{ID: "b", Service: "s", Domain: "d2", Slots: 2, Revision: 2},
		},
		Revision: 2, At: at(0),
	}, at(0))
	return s
}

func TestAdmit(t *testing.T) {
	tests := []struct {
		name    string
		state   dispatch.State
		request dispatch.Request
		now     int
		kind    refusal.Kind // empty where the request is admitted
	}{
		{"admitted", state(), dispatch.Request{Host: "h", Path: "/r/1", Key: "k"}, 0, ""},
		{"no configuration", dispatch.New("g", "d1", bounds), dispatch.Request{Host: "h", Path: "/r/1", Key: "k"}, 0, refusal.Closing},
		{"no route", state(), dispatch.Request{Host: "h", Path: "/x/", Key: "k"}, 0, refusal.Service},
		{"unknown key", state(), dispatch.Request{Host: "h", Path: "/r/1", Key: "x"}, 0, refusal.Key},
		{"no key", state(), dispatch.Request{Host: "h", Path: "/r/1"}, 0, refusal.Key},
		{"public without key", state(), dispatch.Request{Host: "h", Path: "/open/1"}, 0, ""},
		{"old proof", state(), dispatch.Request{Host: "h", Path: "/r/1", Key: "k"}, 4500, refusal.Closing},
		{"old proof, unknown key", state(), dispatch.Request{Host: "h", Path: "/r/1", Key: "x"}, 4500, refusal.Closing},
		{"old proof, public", state(), dispatch.Request{Host: "h", Path: "/open/1"}, 4500, ""},
		{"closing", state().WithClosing(), dispatch.Request{Host: "h", Path: "/r/1", Key: "k"}, 0, refusal.Closing},
		{"retiring", state().WithRetiring("test", at(0)), dispatch.Request{Host: "h", Path: "/r/1", Key: "k"}, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, a, refused := tt.state.Admit(tt.request, 0, at(tt.now))
			if tt.kind == "" {
				if refused != nil || a.Service != "s" {
					t.Errorf("the request was refused: %v", refused)
				}
				return
			}
			if refused == nil || refused.Kind != tt.kind || refused.Ran != refusal.No {
				t.Errorf("refusal is %v, want %s with ran=no", refused, tt.kind)
			}
		})
	}
}

func TestAdmission(t *testing.T) {
	tests := []struct {
		name     string
		request  dispatch.Request
		deadline int
		priority int
		account  string
	}{
		{"the route's timeout", dispatch.Request{Host: "h", Path: "/r/", Key: "k"}, 600, 1, "acme"},
		{"the caller's deadline", dispatch.Request{Host: "h", Path: "/r/", Key: "k", Allowed: 500 * time.Millisecond}, 500, 1, "acme"},
		{"a caller that came back", dispatch.Request{Host: "h", Path: "/r/", Key: "k", Allowed: 400 * time.Millisecond}, 400, 5, "acme"},
		{"a longer deadline", dispatch.Request{Host: "h", Path: "/r/", Key: "k", Allowed: time.Hour}, 600, 1, "acme"},
		{"public", dispatch.Request{Host: "h", Path: "/open/"}, 1000, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, a, refused := state().Admit(tt.request, 0, at(0))
			if refused != nil || !a.Deadline.Equal(at(tt.deadline)) || a.Priority != tt.priority || a.Account != tt.account {
				t.Errorf("admission is %+v, %v", a, refused)
			}
		})
	}
}

func TestValid(t *testing.T) {
	_, a, _ := state().Admit(dispatch.Request{Host: "h", Path: "/r/", Key: "k"}, 0, at(0))
	tests := []struct {
		name  string
		state dispatch.State
		now   int
		want  bool
	}{
		{"unchanged", state(), 100, true},
		{"key taken away", state().WithBook(book(6), at(50)), 100, false},
		{"proof too old", state(), 4500, false},
		{"an older book changes nothing", state().WithBook(book(4), at(50)), 100, true},
	}
	for _, tt := range tests {
		if got := tt.state.Valid("k", a, at(tt.now)); got != tt.want {
			t.Errorf("%s: valid is %t, want %t", tt.name, got, tt.want)
		}
	}
}

func TestChoose(t *testing.T) {
	load := func(s dispatch.State, id string, n int) dispatch.State {
		return s.WithPeer("p-"+id, map[string]int{id: n}, nil, at(0))
	}
	tests := []struct {
		name  string
		state dispatch.State
		tried []string
		now   int
		want  string // empty for a refusal
	}{
		{"own domain first", state(), nil, 0, "a"},
		{"the less loaded", load(state(), "a", 2), nil, 0, "b"},
		{"tried", state(), []string{"a"}, 0, "b"},
		{"all tried", state(), []string{"a", "b"}, 0, ""},
		{"full", load(load(state(), "a", 4), "b", 4), nil, 0, ""},
		{"counts of a silent peer are dropped", load(load(state(), "a", 4), "b", 4), nil, 3100, "a"},
		{"cold", state().WithNews(dispatch.News{Targets: []roster.Target{{ID: "a", Service: "s", Domain: "d1", Slots: 2, Cold: at(500), Revision: 3}}}, at(0)), nil, 0, "b"},
		{"warm again", state().WithNews(dispatch.News{Targets: []roster.Target{{ID: "a", Service: "s", Domain: "d1", Slots: 2, Cold: at(500), Revision: 3}}}, at(0)), nil, 600, "a"},
		{"leaving", state().WithNews(dispatch.News{Targets: []roster.Target{{ID: "a", Service: "s", Leaving: true, Revision: 3}}}, at(0)), nil, 0, "b"},
		{"evacuated", state().WithNews(dispatch.News{Evacuations: []dispatch.Evacuation{{Domain: "d1", Out: true, Revision: 3}}}, at(0)), nil, 0, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, a, _ := state().Admit(dispatch.Request{Host: "h", Path: "/open/"}, 0, at(0))
			_, got, refused := tt.state.Choose(a, tt.tried, fixed{}, at(tt.now))
			if got.ID != tt.want || (refused == nil) != (tt.want != "") {
				t.Errorf("chosen is %q, %v, want %q", got.ID, refused, tt.want)
			}
			if refused != nil && (refused.Ran != refusal.No || !refused.Retryable) {
				t.Errorf("refusal is %v, want ran=no with a time to come back", refused)
			}
		})
	}
}

// TestCold holds the bound on a cold target over all gateways: no span of a
// second may bring it more than rate times overshoot plus slack.
func TestCold(t *testing.T) {
	s := dispatch.New("g", "d1", bounds).WithNews(dispatch.News{
		Books:   []route.Book{book(5)},
		Targets: []roster.Target{{ID: "a", Service: "cold", Domain: "d1", Slots: 1000, Revision: 1}},
		At:      at(0),
	}, at(0))
	const gateways = 12 // no site of today has more
	most := int(38*bounds.ColdOvershoot + bounds.ColdSlack)
	for i := range gateways - 1 {
		s = s.WithPeer(fmt.Sprint(i), nil, nil, at(0))
	}
	a := dispatch.Admission{Service: "cold"}
	var sent []int
	for ms := range 3000 {
		next, _, refused := s.Choose(a, nil, fixed{}, at(ms))
		if refused != nil {
			continue
		}
		s, sent = next.WithAttempt("a", false, at(ms)), append(sent, ms)
	}
	for i := range sent {
		n := 0
		for _, ms := range sent[i:] {
			if ms <= sent[i]+1000 {
				n++
			}
		}
		if n*gateways > most {
			t.Fatalf("%d gateways send %d requests in a second, want at most %d", gateways, n*gateways, most)
		}
	}
	if len(sent) < 9 {
		t.Errorf("%d requests were sent in 3 s, want a share of the bound", len(sent))
	}
}

func TestEjection(t *testing.T) {
	s := state()
	fail := func(s dispatch.State, id string) dispatch.State {
		for range 3 {
			_, a, _ := s.Admit(dispatch.Request{Host: "h", Path: "/open/"}, 0, at(0))
			tried := []string{"a"}
			if id == "a" {
				tried = []string{"b"}
			}
			s, _, _ = s.Choose(a, tried, fixed{}, at(0))
			s = s.WithAttempt(id, true, at(0))
		}
		return s
	}
	s = fail(s, "a")
	if !s.View("a").Attempts.Ejected(at(0)) {
		t.Error("three failures in a row did not eject")
	}
	if s = fail(s, "b"); s.View("b").Attempts.Ejected(at(0)) {
		t.Error("the last target of the service was ejected")
	}
}

// TestReborn gives work to a new process under a name that an ejected one had.
func TestReborn(t *testing.T) {
	s := state()
	_, a, _ := s.Admit(dispatch.Request{Host: "h", Path: "/open/"}, 0, at(0))
	for range 3 {
		s, _, _ = s.Choose(a, []string{"b"}, fixed{}, at(0))
		s = s.WithAttempt("a", true, at(0))
	}
	s = s.WithNews(dispatch.News{Targets: []roster.Target{{ID: "a", Service: "s", Domain: "d1", Slots: 2, Born: 7, Revision: 3}}}, at(0))
	if s.View("a").Attempts.Ejected(at(0)) {
		t.Error("the new process is ejected for what the old one failed")
	}
}

func TestBudget(t *testing.T) {
	s := state()
	retries := 0
	for range 100 {
		next, allowed := s.Retried("s")
		if s = next; allowed {
			retries++
		}
	}
	// Ten gateways may use up 90 and a fifth of what they are sent in any 10 s.
	if retries > 10 {
		t.Errorf("%d retries were allowed without first attempts, want at most 10", retries)
	}
}

func TestReady(t *testing.T) {
	tests := []struct {
		name  string
		state dispatch.State
		now   int
		want  bool
	}{
		{"ready", state(), 0, true},
		{"no configuration", dispatch.New("g", "d1", bounds).WithProof(at(0)), 0, false},
		{"old proof", state(), 4500, false},
		{"retiring", state().WithRetiring("test", at(0)), 0, false},
	}
	for _, tt := range tests {
		if got := tt.state.Ready(at(tt.now)); got != tt.want {
			t.Errorf("%s: ready is %t, want %t", tt.name, got, tt.want)
		}
	}
}

// TestOutage has a group lost and back: meanwhile a request tries it seldom, and
// what failed because of it ejects nobody.
func TestOutage(t *testing.T) {
	_, a, _ := state().Admit(dispatch.Request{Host: "h", Path: "/open/"}, 0, at(0))
	s := state()
	for range 3 {
		s, _, _ = s.Choose(a, []string{"b"}, fixed{}, at(0))
		s = s.WithAttempt("a", true, at(0))
	}
	s = s.WithOutage("s", at(0))
	tries := 0
	for ms := 0; ms < 1500; ms += 10 {
		next, _, refused := s.Choose(a, nil, fixed{}, at(ms))
		if s = next; refused == nil {
			tries++
			s = s.WithAttempt("b", false, at(ms))
		}
	}
	if tries < 5 || tries > 10 {
		t.Errorf("a lost group was tried %d times in 1.5 s, want one try in 150 ms", tries)
	}
	s = s.WithService("s", at(100))
	if s.Lost("s") || s.View("a").Attempts.Ejected(at(100)) {
		t.Error("the service is lost or a target ejected after the group is back")
	}
	if _, got, refused := s.Choose(a, []string{"b"}, fixed{}, at(100)); refused != nil || got.ID != "a" {
		t.Errorf("chosen is %q, %v", got.ID, refused)
	}
}

// TestSilentTargetComesLast sends a request to a target that stands still. What
// follows goes elsewhere until it gives a sign or may be tried again.
func TestSilentTargetComesLast(t *testing.T) {
	_, fresh, _ := state().Admit(dispatch.Request{Host: "h", Path: "/open/"}, 0, at(0))
	sent, first, _ := state().Choose(fresh, []string{"b"}, fixed{}, at(0))
	sent = sent.WithAttempt(first.ID, false, at(100)) // its caller left
	tests := []struct {
		name  string
		state dispatch.State
		now   int
		want  string
	}{
		{"just sent", sent, 400, "a"},
		{"silent", sent, 600, "b"},
		{"a sign since", sent.WithSign("a"), 600, "a"},
		{"a peer finds it silent", state().WithPeer("p", nil, sent.Silent(at(600)), at(600)), 700, "b"},
		{"a peer that was not heard since", state().WithPeer("p", nil, []string{"a"}, at(0)), 700, "a"},
		{"to be tried again", sent, 3600, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, chosen, refused := tt.state.Choose(fresh, nil, fixed{}, at(tt.now))
			if refused != nil || chosen.ID != tt.want {
				t.Errorf("chosen is %q, refused %v, want %q", chosen.ID, refused, tt.want)
			}
		})
	}
	if _, only, refused := sent.Choose(fresh, []string{"b"}, fixed{}, at(600)); refused != nil || only.ID != "a" {
		t.Errorf("where there is no other, chosen is %q, refused %v", only.ID, refused)
	}
}

// TestRoom keeps the queue of a full target for requests that can be on time.
func TestRoom(t *testing.T) {
	_, fresh, _ := state().Admit(dispatch.Request{Host: "h", Path: "/open/"}, 0, at(0))
	tests := []struct {
		name string
		a    dispatch.Admission
		load int
		want bool
	}{
		{"fresh, slots free", fresh, 1, true},
		{"fresh, slots full", fresh, 3, true},
		{"fresh, queue full", fresh, 4, false},
		{"late, slots free", fresh.WithLate(), 1, true},
		{"late, slots full", fresh.WithLate(), 2, false},
	}
	for _, tt := range tests {
		s := state().WithPeer("p", map[string]int{"a": tt.load}, nil, at(0))
		if _, _, refused := s.Choose(tt.a, []string{"b"}, fixed{}, at(0)); (refused == nil) != tt.want {
			t.Errorf("%s: refusal is %v, want room %t", tt.name, refused, tt.want)
		}
	}
}
