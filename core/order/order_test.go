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
	unasked := State{}.WithWanted(2, "a")
	wants := unasked.WithLoaded("", epoch)
	busy, first := wants.Next(epoch)
	tests := []struct {
		name  string
		state State
		want  string // what is ordered, empty for nothing
	}{
		{"nothing wanted", State{}, ""},
		{"wanted, no report yet", unasked, ""},
		{"wanted", wants, "a"},
		{"loaded already", wants.WithLoaded("a", epoch), ""},
		{"lost again", wants.WithLoaded("a", epoch).WithLoaded("", epoch), "a"},
		{"one in progress", busy.WithWanted(3, "b"), ""},
		{"after its end", busy.WithWanted(3, "b").WithEnded(*first, true, epoch), "b"},
		{"carried out", busy.WithEnded(*first, true, epoch), ""},
		{"failed", busy.WithEnded(*first, false, epoch), "a"},
		{"a report asked for before the end", busy.WithEnded(*first, true, epoch).WithLoaded("", epoch.Add(-1)), ""},
		{"a report asked for during the order", busy.WithLoaded("", epoch.Add(-1)).WithEnded(*first, true, epoch), ""},
		{"a report asked for after the end", busy.WithEnded(*first, true, epoch).WithLoaded("", epoch.Add(1)), "a"},
		{"older configuration", wants.WithWanted(1, "b"), "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, o := tt.state.Next(epoch)
			if got := orEmpty(o); got != tt.want {
				t.Errorf("ordered %q, want %q", got, tt.want)
			}
		})
	}
}

func orEmpty(o *Order) string {
	if o == nil {
		return ""
	}
	return o.Load
}

// TestEngineEndsWithWhatIsWanted plays random histories of wishes, orders that
// are lost or late, and engines that forget. With or without an engine that
// heeds fencing numbers, it ends with what is wanted, and numbers only rise.
func TestEngineEndsWithWhatIsWanted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heeds := rapid.Bool().Draw(t, "engine heeds numbers")
		s := State{}.WithLoaded("", epoch)
		var engine string
		var highest Fence
		version := uint64(0)
		now := epoch
		give := func(o *Order, lost bool) {
			if o == nil || s.Stale(*o) {
				return
			}
			if !o.Fence.Newer(highest) {
				t.Fatalf("number %+v after %+v", o.Fence, highest)
			}
			highest = o.Fence
			now = now.Add(time.Millisecond)
			if !lost {
				engine = o.Load
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
				give(o, rapid.Bool().Draw(t, "lost"))
			case 2:
				s = s.WithLoaded(engine, now)
			case 3: // a stale order of a paused forerunner, which only an engine that heeds numbers refuses
				if !heeds {
					engine = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "stale")
				}
			}
		}
		for range 3 {
			s = s.WithLoaded(engine, now)
			var o *Order
			s, o = s.Next(now)
			give(o, false)
		}
		if version > 0 && engine != s.wanted {
			t.Fatalf("the engine has %q, wanted %q", engine, s.wanted)
		}
	})
}
