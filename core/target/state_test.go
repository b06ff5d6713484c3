package target

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamtray/core/fleet"
	"hornbeamtray/core/ledger"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/ticket"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1979")
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_000_000, 0)

func newConfiguration(limit int) fleet.Configuration {
	return fleet.NewConfiguration().WithVersion(1).
		WithDomain(fleet.NewDomain("east")).
		WithService(fleet.NewService("orders", fleet.Plain).WithIdempotent("status")).
		WithTarget(fleet.NewTarget("t1", "orders", "east", "10.0.0.1:1").WithLimit(limit))
}

func domainOut() fleet.Configuration {
	return newConfiguration(8).WithVersion(2).WithDomain(fleet.NewDomain("east").WithEvacuated(true))
}

func newServingState(limit int, options ...Option) State {
	return New("t1", "now", options...).WithConfiguration(newConfiguration(limit), nil, epoch)
}

func newBooking(id string, expiry time.Time) Request {
	return Request{Ticket: ticket.New(id, "bench", "orders", "book", expiry).WithTarget("t1", "now"), Digest: 1}
}

func TestBegin(t *testing.T) {
	valid := newBooking("a", epoch.Add(time.Minute))
	otherIncarnation := valid
	otherIncarnation.Ticket = otherIncarnation.Ticket.WithTarget("t1", "before")
	reused := valid
	reused.Digest = 2
	status := Request{Ticket: ticket.New("s", "bench", "orders", "status", epoch.Add(time.Minute)).WithTarget("t1", "now"), Idempotent: true}
	wronglyIdempotent := valid
	wronglyIdempotent.Idempotent = true
	started, _ := newServingState(8).Begin(valid, epoch)
	full, _ := newServingState(1).Begin(newBooking("b", epoch.Add(time.Minute)), epoch)
	voided, _ := newServingState(8).Void(valid.Ticket, epoch)
	tests := []struct {
		name    string
		state   State
		request Request
		now     time.Time
		action  Action
		kind    refusal.Kind
		ran     refusal.Ran
	}{
		{"first", newServingState(8), valid, epoch, Start, "", ""},
		{"repeat", started, valid, epoch, Attach, "", ""},
		{"repeat of a finished one", started.End(RunResult{Ticket: valid.Ticket, Bytes: 10}, epoch), valid, epoch, Attach, "", ""},
		{"ticket reused", started, reused, epoch, Refuse, refusal.Conflict, refusal.Unknown},
		{"other incarnation", newServingState(8), otherIncarnation, epoch, Refuse, refusal.Gone, refusal.Unknown},
		{"voided", voided, valid, epoch, Refuse, refusal.Voided, refusal.No},
		{"expired", newServingState(8), valid, epoch.Add(time.Minute), Refuse, refusal.Expired, refusal.Unknown},
		{"expired after the clock fell back", sweptAt(newServingState(8), epoch.Add(time.Hour)), valid, epoch, Refuse, refusal.Expired, refusal.Unknown},
		{"expiry too far", newServingState(8), newBooking("a", epoch.Add(time.Hour)), epoch, Refuse, refusal.Malformed, refusal.Unknown},
		{"full", full, valid, epoch, Refuse, refusal.Busy, refusal.No},
		{"leaving", newServingState(8).WithLeaving("asked", epoch), valid, epoch, Refuse, refusal.Leaving, refusal.No},
		{"domain out", newServingState(8).WithConfiguration(domainOut(), nil, epoch), valid, epoch, Refuse, refusal.Leaving, refusal.No},
		{"target not reached", newServingState(8).WithReached(false, epoch), valid, epoch, Refuse, refusal.Leaving, refusal.No},
		{"repeat while leaving", started.WithLeaving("asked", epoch), valid, epoch, Attach, "", ""},
		{"answers held", newServingState(8, WithHeldBytes(10), WithAnswerBytes(11)), valid, epoch, Refuse, refusal.Busy, refusal.No},
		{"idempotent", newServingState(8), status, epoch, Start, "", ""},
		{"idempotent for the sender alone", started, wronglyIdempotent, epoch, Attach, "", ""},
		{"not configured", New("t1", "now"), valid, epoch, Refuse, refusal.Leaving, refusal.No},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, v := tt.state.Begin(tt.request, tt.now)
			if v.Action != tt.action || v.Refusal.Kind != tt.kind || v.Refusal.Ran != tt.ran {
				t.Errorf("Begin returned action %d, refusal %q, ran %q; want %d, %q, %q", v.Action, v.Refusal.Kind, v.Refusal.Ran, tt.action, tt.kind, tt.ran)
			}
		})
	}
}

func sweptAt(s State, now time.Time) State {
	s, _ = s.Swept(now)
	return s
}

// TestSignsOfAColdTarget checks that the limit of a warm target falls back to that
// of a cold target only when the target shows signs of a restart.
func TestSignsOfAColdTarget(t *testing.T) {
	c := newConfiguration(8)
	declared, _ := c.Target("t1")
	warm := New("t1", "now").WithConfiguration(c.WithTarget(declared.WithColdStart(2, time.Minute)), nil, epoch.Add(-time.Hour))
	withFailures := func(s State, n int) State {
		for range n {
			s = s.End(RunResult{Failed: true}, epoch)
		}
		return s
	}
	tests := []struct {
		name  string
		state State
		want  int
	}{
		{"none", warm, 8},
		{"one failure", withFailures(warm, 1), 8},
		{"two failures in a row", withFailures(warm, 2), 2},
		{"two failures with a success between", withFailures(withFailures(warm, 1).End(RunResult{}, epoch), 1), 8},
		{"a cut connection", warm.End(RunResult{Broken: true}, epoch), 2},
		{"slow steps", warm.WithSlowSteps(epoch), 2},
		{"another process", warm.WithRestart("seen", epoch), 2},
		{"gone and back", warm.WithReached(false, epoch).WithReached(true, epoch), 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.state.Limit(epoch); got != tt.want {
				t.Errorf("Limit = %d, want %d", got, tt.want)
			}
		})
	}
}

// TestStartsAtMostOnce runs random histories of one agent: requests, repeats,
// voids, ends, clock jumps forward and back, and changes of Leaving. In no
// history may a ticket start twice, a ticket refused as not run start, or the
// limit be exceeded.
func TestStartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newServingState(3, WithLedgerCapacity(rapid.IntRange(1, 6).Draw(t, "capacity")))
		now, starts, notRun := epoch, map[string]int{}, map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id"))
			request := newBooking(id, epoch.Add(ticket.Lifetime))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				var v Verdict
				s, v = s.Begin(request, now)
				if v.Action == Start {
					starts[id]++
				}
				if v.Refusal.Ran == refusal.No {
					notRun[id] = true
				}
			case 2:
				var stage ledger.Stage
				s, stage = s.Void(request.Ticket, now)
				if stage == ledger.Voided {
					notRun[id] = true
				}
			case 3:
				if s.Running > 0 && s.Ledger.Lookup(id).Stage == ledger.Started {
					s = s.End(RunResult{Ticket: request.Ticket, Bytes: 1}, now)
				}
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(-60, 60).Draw(t, "seconds")) * time.Second)
				s, _ = s.Swept(now)
			case 5:
				s.Leaving = !s.Leaving
			}
			if starts[id] > 1 {
				t.Fatalf("ticket %s started %d times, want at most 1", id, starts[id])
			}
			if starts[id] > 0 && notRun[id] {
				t.Fatalf("ticket %s started, but was also refused or voided as not run", id)
			}
			if s.Running > 3 {
				t.Fatalf("%d requests running, limit 3", s.Running)
			}
		}
	})
}
