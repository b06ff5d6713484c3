package order

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1979")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_000_000, 0)

func TestNext(t *testing.T) {
	noReport := State{}.WithWanted(2, "a")
	pending := noReport.WithLoaded("", epoch)
	inProgress, firstOrder := pending.Next(epoch)
	tests := []struct {
		name  string
		state State
		want  string // load of the next order, empty for no order
	}{
		{"nothing wanted", State{}, ""},
		{"wanted, no report yet", noReport, ""},
		{"wanted", pending, "a"},
		{"loaded already", pending.WithLoaded("a", epoch), ""},
		{"lost again", pending.WithLoaded("a", epoch).WithLoaded("", epoch), "a"},
		{"one in progress", inProgress.WithWanted(3, "b"), ""},
		{"after its end", inProgress.WithWanted(3, "b").WithEnded(*firstOrder, true, epoch), "b"},
		{"carried out", inProgress.WithEnded(*firstOrder, true, epoch), ""},
		{"failed", inProgress.WithEnded(*firstOrder, false, epoch), "a"},
		{"a report asked for before the end", inProgress.WithEnded(*firstOrder, true, epoch).WithLoaded("", epoch.Add(-1)), ""},
		{"a report asked for during the order", inProgress.WithLoaded("", epoch.Add(-1)).WithEnded(*firstOrder, true, epoch), ""},
		{"a report asked for after the end", inProgress.WithEnded(*firstOrder, true, epoch).WithLoaded("", epoch.Add(1)), "a"},
		{"older configuration", pending.WithWanted(1, "b"), "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, o := tt.state.Next(epoch)
			if got := loadOf(o); got != tt.want {
				t.Errorf("Next orders load %q, want %q", got, tt.want)
			}
		})
	}
}

// loadOf returns the order's load, empty if there is no order.
func loadOf(o *Order) string {
	if o == nil {
		return ""
	}
	return o.Load
}

// TestEngineEndsWithWhatIsWanted runs random sequences of configurations, lost
// orders, reports and stale orders of a previous process. Whether or not the
// engine checks fencing numbers, it must end up with the wanted load, and
// fencing numbers must only increase.
func TestEngineEndsWithWhatIsWanted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checksFence := rapid.Bool().Draw(t, "engine checks fencing numbers")
		s := State{}.WithLoaded("", epoch)
		var engineLoad string
		var lastFence Fence
		version := uint64(0)
		now := epoch
		execute := func(o *Order, lost bool) {
			if o == nil || s.Stale(*o) {
				return
			}
			if !o.Fence.Newer(lastFence) {
				t.Fatalf("fencing number %+v is not greater than the previous %+v", o.Fence, lastFence)
			}
			lastFence = o.Fence
			now = now.Add(time.Millisecond)
			if !lost {
				engineLoad = o.Load
			}
			s = s.WithEnded(*o, !lost, now)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				version++
				s = s.WithWanted(version, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "load"))
			case 1:
				var o *Order
				s, o = s.Next(now)
				execute(o, rapid.Bool().Draw(t, "lost"))
			case 2:
				s = s.WithLoaded(engineLoad, now)
			case 3: // a stale order of a paused previous process; an engine that checks fencing numbers refuses it
				if !checksFence {
					engineLoad = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "stale")
				}
			}
		}
		for range 3 {
			s = s.WithLoaded(engineLoad, now)
			var o *Order
			s, o = s.Next(now)
			execute(o, false)
		}
		if version > 0 && engineLoad != s.wanted {
			t.Fatalf("engine has loaded %q, want %q", engineLoad, s.wanted)
		}
	})
}
