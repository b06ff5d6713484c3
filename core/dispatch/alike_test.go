package dispatch_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/route"
)

// TestTimeLeftCountsNotTheRoutesTimeout checks that a caller with a given time left is
// treated alike whether the route allows just that time or more: a caller that returned
// after a refusal, and one that is in more of a hurry than the operator expected, are new
// requests like any other.
func TestTimeLeftCountsNotTheRoutesTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.IntRange(1, 10_000).Draw(t, "left")) * time.Millisecond
		load := rapid.IntRange(0, 5).Draw(t, "load")
		var outcomes []dispatch.Admission
		var taken []bool
		for _, timeout := range []time.Duration{left, left + time.Duration(rapid.IntRange(0, 60_000).Draw(t, "more"))*time.Millisecond} {
			s := state().WithBook(route.NewBook(6, route.WithRoutes(route.Route{
				Name: "r", Host: "h", Prefix: "/r/", Public: true, Timeout: timeout, Priority: 2, Shares: []route.Share{{Service: "s", Weight: 1}},
			})), at(0)).WithPeerReport("p", map[string]int{"a": load, "b": load}, nil, at(0))
			s, a, refused := s.Admit(dispatch.Request{Host: "h", Path: "/r/", Timeout: left}, 0, at(0))
			if refused != nil {
				t.Fatal(refused)
			}
			_, _, refused = s.Choose(a, nil, lowestRandom{}, at(0))
			a.Route = route.Route{}
			outcomes, taken = append(outcomes, a), append(taken, refused == nil)
		}
		first, second := outcomes[0], outcomes[1]
		if first.Priority != second.Priority || !first.Deadline.Equal(second.Deadline) || taken[0] != taken[1] {
			t.Fatalf("admitted as %+v and taken: %t with the route's whole time left, as %+v and taken: %t with less", first, taken[0], second, taken[1])
		}
	})
}
