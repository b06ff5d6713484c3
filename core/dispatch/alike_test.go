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

// TestDecisionsAreAlike checks that requests with the same time left are decided upon alike
// if all else is equal but the route's timeout, its objective as far as callers don't wait for
// longer by it, or whether the caller was refused before: they get a target, wait, or are
// refused with the same time to return, and precede the same requests.
func TestDecisionsAreAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.IntRange(30, 10_000).Draw(t, "left")) * time.Millisecond
		load := rapid.IntRange(2, 5).Draw(t, "load")
		kind := rapid.SampledFrom([]route.Kind{route.AtMostOnce, route.Idempotent, route.Stream}).Draw(t, "kind")
		took := time.Duration(rapid.IntRange(0, 2000).Draw(t, "took")) * time.Millisecond
		pause := time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
		limited, lost := rapid.Bool().Draw(t, "limited"), rapid.Bool().Draw(t, "lost")
		queued := rapid.IntRange(0, 20).Draw(t, "queued")
		draw := rapid.Float64Range(0, 1).Draw(t, "draw")
		variants := []struct {
			timeout, objective time.Duration
			returned           bool
		}{
			{left, 0, false},
			{left + time.Duration(rapid.IntRange(0, 60_000).Draw(t, "more"))*time.Millisecond, 0, false},
			{left, time.Duration(rapid.IntRange(1, 500).Draw(t, "objective")) * time.Millisecond, false},
			{left, 0, true},
		}
		type decision struct {
			target    string
			waits     bool
			retryable bool
			after     time.Duration
			behind    bool // another request of the same rank that arrives later has to wait for it
		}
		var decisions []decision
		for _, v := range variants {
			s := state().WithBook(route.NewBook(6, route.WithRoutes(route.Route{
				Name: "r", Host: "h", Prefix: "/r/", Public: true, Kind: kind, Timeout: v.timeout, Objective: v.objective, Priority: 2,
				Shares: []route.Share{{Service: "s", Weight: 1}},
			})), at(0)).WithPeerReport("p", map[string]int{"a": load, "b": load}, nil, at(900))
			for _, id := range []string{"a", "b"} {
				target, _ := s.Roster.Target(id)
				if pause > 0 {
					s = s.WithPause(target, pause, at(900))
				}
				if limited {
					s = s.WithLimit(target, 2, at(900)).WithNextPermit(id, at(1700), at(900))
				}
				if lost {
					s = s.WithGroupLost(target, at(900))
				}
			}
			if took > 0 {
				s = s.WithAnswer("s", took, at(900)).WithFirstPart("s", took/4, at(900))
			}
			for range queued {
				s, _, _ = s.Queue(dispatch.Admission{Service: "s", Priority: 2, Arrived: at(900), Deadline: at(60_000)}, nil, 0, at(900))
			}
			request := dispatch.Request{Host: "h", Path: "/r/", Timeout: left}
			if v.returned {
				refusedBefore, before, _ := s.Admit(request, 0, at(950))
				s = refusedBefore.WithoutPlace(before).WithRequestDone()
			}
			s, a, _ := s.Admit(request, 0, at(1000))
			var d decision
			after, target, refused := s.Choose(a, nil, lowestRandom{}, at(1000))
			d.target = target.ID
			if s = after; refused != nil {
				s, a, refused = s.Queue(a, nil, draw, at(1000))
				if d.waits = a.Place.Waits(); refused != nil {
					d.retryable, d.after = refused.Retryable, refused.RetryAfter
				}
				s = s.WithPeerReport("p", nil, nil, at(1010)).WithPeerReport("p", map[string]int{"a": 3, "b": 4}, nil, at(1010))
				_, _, refused = s.Choose(dispatch.Admission{Service: "s", Priority: 2, Arrived: at(1010), Deadline: at(60_000)}, nil, lowestRandom{}, at(1010))
				d.behind = refused != nil
			}
			decisions = append(decisions, d)
		}
		for i, d := range decisions[1:] {
			if d != decisions[0] {
				t.Fatalf("variant %+v is decided upon as %+v, %+v as %+v", variants[i+1], d, variants[0], decisions[0])
			}
		}
	})
}
