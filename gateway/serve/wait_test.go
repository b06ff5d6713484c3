package serve_test

import (
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/route"
	"hornbeamtray/gateway/serve"
)

// loadTargets reports a load of all targets from a peer.
func loadTargets(service *serve.Service, load int) {
	loads := map[string]int{}
	for _, t := range service.State().Roster.Targets() {
		loads[t.ID] = load
	}
	service.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithPeerReport("peer", loads, nil, now) })
	synctest.Wait()
}

// TestWaitIsAlikeForAllObjectives checks that a request that waits for a place gets the
// first one that it may use, whatever its route's objective: a caller who is still there
// wants its answer, and the objective says nothing of how long it stays.
func TestWaitIsAlikeForAllObjectives(t *testing.T) {
	tests := []struct {
		name      string
		objective time.Duration
	}{{"none", 0}, {"short", 60 * time.Millisecond}, {"long", 500 * time.Millisecond}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				book := route.NewBook(6, route.WithServices(route.Service{Name: "s"}), route.WithRoutes(route.Route{
					Name: "x", Host: "h", Prefix: "/x/", Public: true, Kind: route.AtMostOnce, Timeout: 8 * time.Second, Objective: tt.objective,
					Attempts: 1, Shares: []route.Share{{Service: "s", Weight: 1}},
				}))
				service := serve.New(newState().WithBook(book, time.Now()), &scriptedTargets{script: []step{answer("x")}}, discard{}, discard{})
				defer service.Close()
				loadTargets(service, 6) // the slots and the places in the queue are taken
				time.AfterFunc(700*time.Millisecond, func() { loadTargets(service, 4) })
				start := time.Now()
				outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/x/"}, &caller{})
				if took := time.Since(start); outcome.Refusal != nil || took > 900*time.Millisecond {
					t.Errorf("refusal = %v after %s, want the answer once there is a place after 0.7 s", outcome.Refusal, took)
				}
			})
		})
	}
}

// TestSlowAnswersAreAwaited checks that a request is given up at a target that is slow, to be
// repeated at another, only if the other can be expected to answer in the rest of the time.
func TestSlowAnswersAreAwaited(t *testing.T) {
	tests := []struct {
		name  string
		usual time.Duration // of answers lately
		takes time.Duration
		calls int
	}{
		{"prompt targets, one hung", 20 * time.Millisecond, time.Hour, 2},
		{"slow targets", 400 * time.Millisecond, 450 * time.Millisecond, 1},
		{"nothing known, one hung", 0, time.Hour, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := answer("x")
				first.headDelay = tt.takes
				second := answer("x")
				second.headDelay = tt.usual
				fake := &scriptedTargets{script: []step{first, second}}
				service := serve.New(newState(), fake, discard{}, discard{})
				defer service.Close()
				if tt.usual > 0 {
					service.Change(func(s dispatch.State, now time.Time) dispatch.State {
						for range 100 {
							s = s.WithAnswer("s", tt.usual, now)
						}
						return s
					})
					synctest.Wait()
				}
				outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/again/", Key: "k"}, &caller{})
				if outcome.Refusal != nil || len(fake.calls) != tt.calls {
					t.Errorf("refusal = %v after %d calls, want the answer after %d", outcome.Refusal, len(fake.calls), tt.calls)
				}
			})
		})
	}
}

// TestBrokenStreamWaitsForAPlace checks that a stream that broke off while no target has room is
// resumed once one has, as long as its caller waits for the next event, and that its caller
// hears in time that it is not.
func TestBrokenStreamWaitsForAPlace(t *testing.T) {
	tests := []struct {
		name    string
		fullFor time.Duration
		resumed bool
	}{{"soon", 700 * time.Millisecond, true}, {"too late", 10 * time.Second, false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				broken := answer("id: 1\n\n")
				broken.breaksOff = true
				fake := &scriptedTargets{script: []step{broken, answer("id: 2\n\n")}}
				service := serve.New(newState(), fake, discard{}, discard{})
				defer service.Close()
				fake.onSend = func() {
					fake.onSend = nil
					loadTargets(service, 6)
					for at := time.Second; at < tt.fullFor; at += time.Second {
						time.AfterFunc(at, func() { loadTargets(service, 6) }) // reports of peers get old
					}
					time.AfterFunc(tt.fullFor, func() { loadTargets(service, 0) })
				}
				start := time.Now()
				var c caller
				outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k"}, &c)
				took := time.Since(start)
				if resumed := outcome.Refusal == nil && c.body.String() == "id: 1\n\nid: 2\n\n"; resumed != tt.resumed || took >= 2*time.Second {
					t.Errorf("refusal = %v after %s with %q, want the stream resumed: %t, within the 2 s that callers wait", outcome.Refusal, took, c.body.String(), tt.resumed)
				}
			})
		})
	}
}
