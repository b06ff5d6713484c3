package serve_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/refusal"
	"hornbeamtray/gateway/serve"
)

// scriptedPermits answers asks with delays until the request may be sent, in order;
// a negative one denies it.
type scriptedPermits struct {
	delays []time.Duration
	asks   int
}

func (p *scriptedPermits) Ask(context.Context, dispatch.Ask) dispatch.Grant {
	p.asks++
	delay := p.delays[0]
	if len(p.delays) > 1 {
		p.delays = p.delays[1:]
	}
	return dispatch.Grant{Granted: delay >= 0, Start: time.Now().Add(delay), Next: time.Now().Add(max(delay, -delay))}
}

// TestRequestsToLimitedTargets replays requests to a service whose targets all name a limit:
// one that gets a permit is sent when it is due. One that can't get any while its caller waits
// is refused at once, as not run, with a time to return if there is a use in it.
func TestRequestsToLimitedTargets(t *testing.T) {
	tests := []struct {
		name   string
		delays []time.Duration
		served bool
		took   time.Duration
		asks   int  // at most one for each of the four targets and 100 ms of the wait
		again  bool // the refusal names a time to return
	}{
		{"at once", []time.Duration{0}, true, 0, 1, false},
		{"soon", []time.Duration{120 * time.Millisecond}, true, 120 * time.Millisecond, 1, false},
		{"at the other target", []time.Duration{-20 * time.Second, 0}, true, 0, 2, false},
		{"later than the caller waits for an event", []time.Duration{-3 * time.Second}, false, 0, 4, true},
		{"later than the caller waits at all", []time.Duration{-20 * time.Second}, false, 0, 4, false},
		{"always a little later", []time.Duration{-time.Millisecond}, false, 1800 * time.Millisecond, 80, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limited := answer("id: 1\n\n")
				limited.head.Limited, limited.head.Limit = true, 0.5
				fake := &scriptedTargets{script: []step{limited, limited, answer("id: 1\n\n")}}
				permits := &scriptedPermits{delays: tt.delays}
				service := serve.New(newState(), fake, discard{}, discard{}, serve.WithPermits(permits))
				defer service.Close()
				request := serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k"}
				for _, target := range service.State().Roster.Targets() {
					service.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithLimit(target, 0.5, now) })
				}
				synctest.Wait()
				start := time.Now()
				outcome := service.Serve(t.Context(), request, &caller{})
				took := time.Since(start)
				if served := outcome.Refusal == nil; served != tt.served || took != tt.took || permits.asks != tt.asks {
					t.Fatalf("refusal = %v after %s and %d asks, want served: %t after %s and %d asks", outcome.Refusal, took, permits.asks, tt.served, tt.took, tt.asks)
				}
				if r := outcome.Refusal; r != nil && (r.Kind != refusal.Busy || r.Ran != refusal.No || r.Retryable != tt.again || tt.again && r.RetryAfter <= 0 || len(fake.calls) > 0) {
					t.Errorf("refusal = %v with retry after %s, %d calls; want one as not run, with a time to return: %t", r, r.RetryAfter, len(fake.calls), tt.again)
				}
			})
		})
	}
}

type lowest struct{}

func (lowest) IntN(int) int { return 0 }

// permitsAfter has the caller leave during each ask, which grants nothing.
type permitsAfter struct {
	leave func()
}

func (p permitsAfter) Ask(context.Context, dispatch.Ask) dispatch.Grant {
	p.leave()
	return dispatch.Grant{Next: time.Now().Add(20 * time.Second)}
}

// TestCallersWhoLeaveHoldNoTarget guards against a target that gets no requests since a
// caller left while its request asked for a permit.
func TestCallersWhoLeaveHoldNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &scriptedTargets{script: []step{answer("id: 1\n\n")}}
		ctx, leave := context.WithCancel(t.Context())
		service := serve.New(newState(), fake, discard{}, discard{}, serve.WithPermits(permitsAfter{leave: leave}))
		defer service.Close()
		for _, target := range service.State().Roster.Targets() {
			service.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithLimit(target, 0.5, now) })
		}
		synctest.Wait()
		service.Serve(ctx, serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k"}, &caller{})
		synctest.Wait()
		var tried []string
		a := dispatch.Admission{Service: "s", Deadline: time.Now().Add(time.Second)}
		for range service.State().Roster.Targets() {
			_, target, refused := service.State().Choose(a, tried, lowest{}, time.Now())
			if refused != nil {
				t.Fatalf("after %q no target gets requests: %v", tried, refused)
			}
			tried = append(tried, target.ID)
		}
	})
}

// TestLimitNamedInAnyAnswer checks that a limit holds from the first answer that names it,
// also an error or a refusal, until a later answer of the target names none.
func TestLimitNamedInAnyAnswer(t *testing.T) {
	limit := func(s step) step {
		s.head.Limited, s.head.Limit = true, 2
		return s
	}
	replaced := step{head: serve.Head{Status: 421, NotRun: true, Replaced: true}}
	tests := []struct {
		name  string
		steps []step // the last is the answer that counts
		want  bool
	}{
		{"an answer", []step{limit(answer("id: 1\n\n"))}, true},
		{"an error", []step{limit(status(500))}, true},
		{"a refusal", []step{limit(notRun(false))}, true},
		{"an unsigned answer", []step{limit(step{head: serve.Head{Status: 200}})}, true},
		{"another process at its address", []step{limit(replaced)}, false},
		{"no longer named", []step{limit(answer("id: 1\n\n")), answer("id: 1\n\n")}, false},
		{"no longer named in a refusal", []step{limit(answer("id: 1\n\n")), notRun(false)}, false},
		{"an unsigned answer names none", []step{limit(answer("id: 1\n\n")), {head: serve.Head{Status: 200}}}, true},
		{"an unreadable limit", []step{limit(answer("id: 1\n\n")), {head: serve.Head{Status: 200, Signed: true, InvalidLimit: `"x"`}}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &scriptedTargets{}
				service := serve.New(newState(), fake, discard{}, discard{})
				defer service.Close()
				kept, _ := service.State().Roster.Target("t0")
				for _, other := range service.State().Roster.Targets() {
					if other.ID != kept.ID { // it gets no work
						service.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithLeaving(other, now) })
					}
				}
				synctest.Wait()
				for _, next := range tt.steps {
					fake.script = []step{next}
					service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k"}, &caller{})
					synctest.Wait()
				}
				if got := service.State().Limit(kept).Named; got != tt.want {
					t.Errorf("limit known: %t, want %t", got, tt.want)
				}
			})
		})
	}
}
