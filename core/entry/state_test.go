package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"hornbeamtray/core/fleet"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/ticket"
)

var epoch = time.Unix(1_000_000, 0)

const digest = "4fbe"

func twoDomains() fleet.Configuration {
	return fleet.NewConfiguration().WithVersion(1).
		WithDomain(fleet.NewDomain("east")).WithDomain(fleet.NewDomain("west")).
		WithService(fleet.NewService("orders", fleet.Plain)).
		WithAccount(fleet.NewAccount("bench", digest).WithMaxConcurrent(2)).
		WithTarget(fleet.NewTarget("e1", "orders", "east", "10.0.0.1:1").WithLimit(2)).
		WithTarget(fleet.NewTarget("w1", "orders", "west", "10.0.0.2:1").WithLimit(2))
}

func reportTaking(incarnation string, running int) Report {
	return Report{Incarnation: incarnation, Running: running, Limit: 2, Taking: true, Version: 1, Entries: 1}
}

func newServingState() State {
	return New("n", "east").WithConfiguration(twoDomains(), nil, epoch).
		WithReport("e1", reportTaking("i", 0), epoch).WithReport("w1", reportTaking("i", 0), epoch)
}

func TestChoose(t *testing.T) {
	leavingAgent := reportTaking("i", 0)
	leavingAgent.Taking = false
	eastOut := twoDomains().WithVersion(2).WithDomain(fleet.NewDomain("east").WithEvacuated(true))
	allFull := newServingState().WithReport("e1", reportTaking("i", 2), epoch).WithReport("w1", reportTaking("i", 2), epoch)
	tests := []struct {
		name  string
		state State
		tried []string
		at    time.Duration
		want  string // name of the target, empty for a refusal
	}{
		{"prefers local target", newServingState(), nil, 0, "e1"},
		{"local target full", newServingState().WithReport("e1", reportTaking("i", 2), epoch), nil, 0, "w1"},
		{"local target tried", newServingState(), []string{"e1"}, 0, "w1"},
		{"connection to local target lost", newServingState().WithLost("e1", "cut", epoch), nil, 0, "w1"},
		{"local target silent", newServingState().WithReport("w1", reportTaking("i", 0), epoch.Add(7*time.Second)), nil, 7 * time.Second, "w1"},
		{"local domain out", newServingState().WithConfiguration(eastOut, nil, epoch), nil, 0, "w1"},
		{"local target reports leaving", newServingState().WithReport("e1", leavingAgent, epoch), nil, 0, "w1"},
		{"local target listed as leaving", newServingState().WithLeavingTargets([]string{"e1"}, epoch), nil, 0, "w1"},
		{"all targets full", allFull, nil, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := Admission{Account: "bench", Service: fleet.NewService("orders", fleet.Plain), Call: "book"}
			_, got, refused := tt.state.Choose(a, "id", tt.tried, rand.New(rand.NewPCG(1, 1)), epoch.Add(tt.at))
			if got.Target != tt.want || (refused != nil) != (tt.want == "") {
				t.Errorf("Choose returned target %q, refusal %v; want target %q", got.Target, refused, tt.want)
			}
		})
	}
}

// TestChooseCountsOwnRequests checks that Choose counts the requests that the
// instance sent since the latest report, and refuses once all targets are full.
func TestChooseCountsOwnRequests(t *testing.T) {
	s := newServingState()
	a := Admission{Account: "bench", Service: fleet.NewService("orders", fleet.Plain), Call: "book"}
	chosen := map[string]int{}
	for range 6 {
		var got ticket.Ticket
		s, got, _ = s.Choose(a, "id", nil, rand.New(rand.NewPCG(1, 1)), epoch)
		chosen[got.Target]++
	}
	if chosen["e1"] != 2 || chosen["w1"] != 2 || chosen[""] != 2 {
		t.Errorf("chosen %v, want two requests at each target and two refusals", chosen)
	}
}

func TestAdmit(t *testing.T) {
	busy := newServingState()
	for range 2 {
		busy, _, _ = busy.Admit(digest, "orders", "book", epoch)
	}
	tests := []struct {
		name    string
		state   State
		digest  string
		service string
		want    refusal.Kind
	}{
		{"admitted", newServingState(), digest, "orders", ""},
		{"retiring", newServingState().WithRetiring("asked", epoch), digest, "orders", ""},
		{"closing", newServingState().WithClosing(), digest, "orders", refusal.Closing},
		{"unknown key", newServingState(), "0000", "orders", refusal.Key},
		{"no key", newServingState(), "", "orders", refusal.Key},
		{"unknown service", newServingState(), digest, "none", refusal.Service},
		{"over its limit", busy, digest, "orders", refusal.Limit},
		{"instance full", New("n", "east", WithInFlight(0)).WithConfiguration(twoDomains(), nil, epoch), digest, "orders", refusal.Busy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, _, refused := tt.state.Admit(tt.digest, tt.service, "book", epoch)
			var got refusal.Kind
			if refused != nil {
				got = refused.Kind
				if refused.Ran != refusal.No {
					t.Errorf("refusal with ran=%s, want no", refused.Ran)
				}
			}
			if got != tt.want {
				t.Errorf("refusal kind %q, want %q", got, tt.want)
			}
		})
	}
}

func TestEjection(t *testing.T) {
	withFailures := func(s State, target string, n int) State {
		for range n {
			s = s.WithAttempt(target, true, epoch)
		}
		return s
	}
	tests := []struct {
		name  string
		state State
		at    time.Duration
		want  [2]string // conditions of e1 and w1
	}{
		{"two failures", withFailures(newServingState(), "e1", 2), 0, [2]string{Serving, Serving}},
		{"three failures", withFailures(newServingState(), "e1", 3), 0, [2]string{Ejected, Serving}},
		{"ejection over", withFailures(newServingState(), "e1", 3), time.Second, [2]string{Serving, Serving}},
		{"failures while ejected don't prolong the ejection", withFailures(newServingState(), "e1", 30), time.Second, [2]string{Serving, Serving}},
		{"never both targets", withFailures(withFailures(newServingState(), "e1", 3), "w1", 9), 0, [2]string{Ejected, Serving}},
		{"cleared by success", withFailures(newServingState(), "e1", 2).WithAttempt("e1", false, epoch).WithAttempt("e1", true, epoch), 0, [2]string{Serving, Serving}},
		{"cleared by a new incarnation", withFailures(newServingState(), "e1", 3).WithReport("e1", reportTaking("j", 0), epoch), 0, [2]string{Serving, Serving}},
		{"cleared by a new connection", withFailures(newServingState(), "e1", 3).WithLost("e1", "cut", epoch).WithReport("e1", reportTaking("i", 0), epoch), 0, [2]string{Serving, Serving}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := epoch.Add(tt.at)
			got := [2]string{tt.state.Condition("e1", now), tt.state.Condition("w1", now)}
			if got != tt.want {
				t.Errorf("conditions %v, want %v", got, tt.want)
			}
		})
	}
}
