package serve_test

import (
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/refusal"
	"hornbeamtray/gateway/serve"
)

// TestLeavingTarget checks that a target that says in an answer that it leaves gets no
// other request, and that its answer is delivered.
func TestLeavingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaving := answer("id: 1\n\n")
		leaving.head.Leaving = true
		fake := &scriptedTargets{script: []step{leaving}}
		service := serve.New(newState(), fake, discard{}, discard{})
		defer service.Close()
		for range 20 {
			var c caller
			outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k"}, &c)
			if outcome.Refusal != nil || c.body.String() != "id: 1\n\n" {
				t.Fatalf("refusal = %v with body %q, want the answer", outcome.Refusal, c.body.String())
			}
			synctest.Wait()
			fake.script = []step{answer("id: 1\n\n")}
		}
		for _, call := range fake.calls[1:] {
			if call.Instance == fake.calls[0].Instance {
				t.Fatalf("%s got another request after it said that it leaves", call.Instance)
			}
		}
	})
}

// TestPausedTargets replays requests while all targets of a service ask for a pause. A
// request that can't be served in the time that its caller has is refused at once, without
// a time to return; one that can wait is served after the pause.
func TestPausedTargets(t *testing.T) {
	tests := []struct {
		name   string
		pause  time.Duration
		served bool
	}{{"short", 800 * time.Millisecond, true}, {"long", 20 * time.Second, false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				full := notRun(false)
				full.head.Pause = tt.pause
				fake := &scriptedTargets{script: []step{full, full, full, full}}
				service := serve.New(newState(), fake, discard{}, discard{})
				defer service.Close()
				request := serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k"}
				service.Serve(t.Context(), request, &caller{})
				synctest.Wait()
				fake.script = []step{answer("id: 1\n\n")}
				start := time.Now()
				outcome := service.Serve(t.Context(), request, &caller{})
				took := time.Since(start)
				if served := outcome.Refusal == nil; served != tt.served {
					t.Fatalf("refusal = %v after %s, want served: %t", outcome.Refusal, took, tt.served)
				}
				if tt.served && (took < tt.pause || took > tt.pause+200*time.Millisecond) {
					t.Errorf("served after %s, want after the pause of %s", took, tt.pause)
				}
				if !tt.served && (took > 0 || outcome.Refusal.Ran != refusal.No || outcome.Refusal.Retryable) {
					t.Errorf("refusal = %v with retry after %s, after %s; want one at once, and no time to return", outcome.Refusal, outcome.Refusal.RetryAfter, took)
				}
			})
		})
	}
}

// TestReplacedSaysNothing checks that what another process at a target's address says of
// itself is not taken for a statement of the target.
func TestReplacedSaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := step{head: serve.Head{Status: 421, NotRun: true, Replaced: true, Leaving: true, Pause: time.Second}}
		fake := &scriptedTargets{script: []step{other, answer("id: 1\n\n")}}
		service := serve.New(newState(), fake, discard{}, discard{})
		defer service.Close()
		service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k"}, &caller{})
		synctest.Wait()
		replaced, _ := service.State().Roster.Target(fake.calls[0].Instance)
		if s := service.State(); s.SaidLeaving(replaced) || s.AwaitsTrial(replaced) {
			t.Errorf("the target leaves: %t, is paused: %t; want neither", s.SaidLeaving(replaced), s.AwaitsTrial(replaced))
		}
	})
}
