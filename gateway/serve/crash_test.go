package serve_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/quarantine"
	"hornbeamtray/core/refusal"
	"hornbeamtray/gateway/serve"
)

// TestRepeatOfCrash guards against a gateway that carries a request that crashed a target
// on to the next one.
func TestRepeatOfCrash(t *testing.T) {
	closed := fmt.Errorf("%w: reset", serve.ErrClosed)
	begun := step{head: serve.Head{Status: 200, Signed: true, Length: -1}, readErr: closed}
	started := begun
	started.parts = []string{"id: 1\n\n"}
	underWay := begun
	underWay.parts = []string{"id: 1\n\n", "id: 2\n\n"}
	gone, runs, replaced := serve.Sign{Reach: serve.Refused}, serve.Sign{Reach: serve.Answered, StartUnixMilli: 7}, serve.Sign{Reach: serve.Answered, StartUnixMilli: 8}
	tests := []struct {
		name  string
		parts []string
		sign  serve.Sign // of the process at the target's address
		first step
		calls int
	}{
		{"as the answer began", []string{"dead"}, gone, begun, 1},
		{"as the answer began, the target still runs", []string{"dead"}, runs, begun, 2},
		{"as the answer began, no shared part", nil, gone, begun, 1},
		{"as the answer began, the parts are proven", []string{"proven"}, gone, begun, 1},
		{"as the answer began, the parts are proven, the target still runs", []string{"proven"}, runs, begun, 2},
		{"as the answer began, another process runs", []string{"dead"}, replaced, begun, 1},
		{"nothing of the answer", []string{"dead"}, gone, step{err: closed}, 2},
		{"after the first event", []string{"dead"}, gone, started, 2},
		{"later in the answer", []string{"dead"}, gone, underWay, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &scriptedTargets{script: []step{answer("id: 1\n\n", "id: 2\n\n"), tt.first, answer("id: 3\n\n")}, sign: tt.sign}
				service := serve.New(newState(), fake, discard{}, discard{})
				defer service.Close()
				request := serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k", Parts: []string{"proven"}}
				service.Serve(t.Context(), request, &caller{})
				synctest.Wait()
				request.Parts = tt.parts
				outcome := service.Serve(t.Context(), request, &caller{})
				if calls := len(fake.calls) - 1; calls != tt.calls {
					t.Fatalf("the request was sent %d times, want %d", calls, tt.calls)
				}
				if tt.calls == 2 && outcome.Refusal != nil {
					t.Errorf("refusal = %v, want none", outcome.Refusal)
				}
				if tt.calls == 1 && (outcome.Refusal == nil || outcome.Refusal.Kind != refusal.Quarantined || outcome.Refusal.Ran != refusal.Unknown) {
					t.Errorf("refusal = %v, want one of a quarantined request that may have run", outcome.Refusal)
				}
			})
		})
	}
}

// TestAttemptsBesideCrash guards against requests that wait at other targets when a part
// of their prompt is found to crash targets, and crash these as well. A trial goes on.
func TestAttemptsBesideCrash(t *testing.T) {
	tests := []struct {
		name  string
		parts []string
		ends  bool
	}{
		{"same part", []string{"first", "dead"}, true},
		{"same first part", []string{"first", "other"}, false},
		{"no shared parts", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				waiting := answer("id: 1\n\n", "id: 2\n\n")
				waiting.headDelay = time.Second
				fake := &scriptedTargets{script: []step{answer("id: 1\n\n", "id: 2\n\n"), waiting, waiting}}
				service := serve.New(newState(), fake, discard{}, discard{})
				defer service.Close()
				request := serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k", Parts: []string{"first"}}
				service.Serve(t.Context(), request, &caller{})
				suspect := func(part string) {
					service.Change(func(s dispatch.State, now time.Time) dispatch.State {
						return s.WithCrash("t", []string{part}, quarantine.Begun, now)
					})
				}
				time.AfterFunc(100*time.Millisecond, func() { suspect("dead") })
				time.AfterFunc(200*time.Millisecond, func() { suspect("unrelated") })
				request.Parts = tt.parts
				start := time.Now()
				outcome := service.Serve(t.Context(), request, &caller{})
				if ended := outcome.Refusal != nil; ended != tt.ends {
					t.Fatalf("refusal = %v, want one: %t", outcome.Refusal, tt.ends)
				}
				if took := time.Since(start); tt.ends && (took > 150*time.Millisecond || outcome.Refusal.Ran == refusal.No) {
					t.Errorf("refusal = %v after %s, want one at once that does not say that the request did not run", outcome.Refusal, took)
				}
				if !tt.ends {
					return
				}
				time.Sleep(45 * time.Second) // until a trial is due
				service.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithSync(now) })
				synctest.Wait()
				time.AfterFunc(100*time.Millisecond, func() { suspect("unrelated") })
				if outcome := service.Serve(t.Context(), request, &caller{}); outcome.Refusal != nil {
					t.Errorf("refusal of the trial = %v, want none", outcome.Refusal)
				}
			})
		})
	}
}
