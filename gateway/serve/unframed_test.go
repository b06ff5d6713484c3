package serve_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/route"
	"hornbeamtray/gateway/serve"
)

// TestUnframedAnswers guards against an answer that ends with its connection, and is
// delivered as whole though its target crashed in the middle of it.
func TestUnframedAnswers(t *testing.T) {
	unframed := func(leaving bool, parts ...string) step {
		s := answer(parts...)
		s.head.Unframed, s.head.Leaving = true, leaving
		return s
	}
	large := slices.Repeat([]string{strings.Repeat("x", 8<<10)}, 12)
	tests := []struct {
		name    string
		path    string
		gone    bool
		answers []step
		body    string
		ran     refusal.Ran // of the refusal; empty if the answer is whole
	}{
		{"a stream", "/stream/", false, []step{unframed(false, "id: 1\n\n")}, "id: 1\n\n", ""},
		{"a stream, the target crashed", "/stream/", true, []step{unframed(false, "id: 1\n\n"), answer("id: 2\n\n")}, "id: 1\n\nid: 2\n\n", ""},
		{"a stream without events, the target crashed", "/stream/", true, []step{unframed(false), answer("id: 1\n\n")}, "", refusal.Unknown}, // the request may have crashed it
		{"a stream inside an event", "/stream/", false, []step{unframed(false, "id: 1\n\nid"), answer("id: 2\n\n")}, "id: 1\n\nid: 2\n\n", ""},
		{"a stream, the target left, nothing follows at another", "/stream/", true, []step{unframed(true, "id: 1\n\n"), answer()}, "id: 1\n\n", ""},
		{"a stream, the target left and crashed", "/stream/", true, []step{unframed(true, "id: 1\n\n"), answer("id: 2\n\n")}, "id: 1\n\nid: 2\n\n", ""},
		{"a stream that can't be resumed, the target left and crashed", "/single/", true, []step{unframed(true, "id: 1\n\n")}, "id: 1\n\n", refusal.Unknown},
		{"a body, the target left and crashed", "/again/", true, []step{unframed(true, "hel"), answer("hello")}, "hello", ""},
		{"a body of a request that runs once, the target left and crashed", "/once/", true, []step{unframed(true, "hel")}, "", refusal.Unknown},
		{"a large body, the target left and crashed", "/again/", true, []step{unframed(true, large...)}, strings.Join(large, ""), refusal.Unknown},
		{"a stream with an end of its own, the target crashed", "/stream/", true, []step{answer("id: 1\n\n")}, "id: 1\n\n", ""},
		{"a stream that can't be resumed, the target crashed", "/single/", true, []step{unframed(false, "id: 1\n\n")}, "id: 1\n\n", refusal.Unknown},
		{"a body", "/once/", false, []step{unframed(false, "hello")}, "hello", ""},
		{"a body, the target crashed", "/again/", true, []step{unframed(false, "hel"), answer("hello")}, "hello", ""},
		{"a body of a request that runs once, the target crashed", "/once/", true, []step{unframed(false, "hel")}, "", refusal.Unknown},
		{"a large body, the target crashed", "/again/", true, []step{unframed(false, large...)}, strings.Join(large, ""), refusal.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &scriptedTargets{script: tt.answers}
				if tt.gone {
					fake.sign = serve.Sign{Reach: serve.Refused}
				}
				service := serve.New(newState(), fake, discard{}, discard{})
				defer service.Close()
				var c caller
				outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: tt.path, Key: "k"}, &c)
				if c.body.String() != tt.body || (outcome.Refusal != nil) != (tt.ran != "") || len(c.heads) > 1 {
					t.Fatalf("the caller received %d bytes, %.40q, with refusal %v; want %d bytes, %.40q, whole: %t", c.body.Len(), c.body.String(), outcome.Refusal, len(tt.body), tt.body, tt.ran == "")
				}
				if tt.ran != "" && outcome.Refusal.Ran != tt.ran {
					t.Errorf("refusal = %v, want ran=%s", outcome.Refusal, tt.ran)
				}
			})
		})
	}
}

// leavingTargets are scripted targets that exit once their answers have ended. The entry of
// the first is removed from the platform's store a time after the request was sent.
type leavingTargets struct {
	scriptedTargets

	service *serve.Service
	removed time.Duration // 0 for never
}

// Send implements serve.Targets.
func (l *leavingTargets) Send(ctx context.Context, call serve.Call) (serve.Reply, error) {
	if l.removed > 0 {
		time.AfterFunc(l.removed, func() {
			l.service.Change(func(s dispatch.State, now time.Time) dispatch.State {
				return s.WithUpdate(dispatch.Update{Removals: []dispatch.Removal{{Target: call.Instance, Revision: 100}}, Revision: 100}, now)
			})
		})
	}
	return l.scriptedTargets.Send(ctx, call)
}

// TestLastAnswerOfLeavingTarget guards against an answer that ends with its connection and is
// taken for whole without evidence as its target exits, or for broken off though it still runs.
// That its entry is removed at that moment is none: one that must be gone by a fixed time may
// leave in the middle of its answers.
func TestLastAnswerOfLeavingTarget(t *testing.T) {
	unframed := func(leaving bool, parts ...string) step {
		s := answer(parts...)
		s.head.Unframed, s.head.Leaving = true, leaving
		s.partDelay = 10 * time.Millisecond
		return s
	}
	broken := step{err: errors.New("connection reset")}
	gone, unreached, runs := serve.Sign{Reach: serve.Refused}, serve.Sign{Age: time.Hour}, serve.Sign{Reach: serve.Answered, Age: time.Hour}
	const soon, late = 100 * time.Millisecond, 5 * time.Second
	tests := []struct {
		name    string
		path    string
		listed  bool // the platform lists all targets as leaving
		sign    serve.Sign
		removed time.Duration
		answers []step
		body    string
		calls   int
		whole   bool
	}{
		{"a stream, its entry is removed", "/single/", false, gone, soon, []step{unframed(true, "id: 1\n\n")}, "id: 1\n\n", 1, false},
		{"a stream, its entry stays", "/single/", false, gone, late, []step{unframed(true, "id: 1\n\n")}, "id: 1\n\n", 1, false},
		{"a stream, it can't be reached, its entry is removed", "/single/", false, unreached, soon, []step{unframed(true, "id: 1\n\n")}, "id: 1\n\n", 1, false},
		{"a stream, it can't be reached", "/single/", false, unreached, 0, []step{unframed(true, "id: 1\n\n")}, "id: 1\n\n", 1, false},
		{"a stream, it can't be reached and doesn't leave", "/single/", false, unreached, 0, []step{unframed(false, "id: 1\n\n")}, "id: 1\n\n", 1, false},
		{"a stream, it still runs", "/single/", false, runs, 0, []step{unframed(true, "id: 1\n\n")}, "id: 1\n\n", 1, true},
		{"a stream that began before it left", "/single/", true, gone, soon, []step{unframed(false, "id: 1\n\n")}, "id: 1\n\n", 1, false},
		{"a stream that began before it left, it still runs", "/single/", true, runs, 0, []step{unframed(false, "id: 1\n\n")}, "id: 1\n\n", 1, true},
		{"a stream that may be resumed", "/stream/", false, gone, soon, []step{unframed(true, "id: 1\n\n"), answer()}, "id: 1\n\n", 2, true},
		{"a body, its entry is removed", "/once/", false, gone, soon, []step{unframed(true, "hello")}, "", 1, false},
		{"a body, it still runs", "/once/", false, runs, 0, []step{unframed(true, "hello")}, "hello", 1, true},
		{"a body, its entry stays", "/once/", false, gone, 0, []step{unframed(true, "hello")}, "", 1, false},
		{"a body of an idempotent request", "/again/", false, gone, soon, []step{unframed(true, "hel"), answer("hello")}, "hello", 2, true},
		{"a body of the last attempt", "/again/", false, gone, soon, []step{broken, unframed(true, "hello")}, "", 2, false},
		{"a body of the last attempt, it still runs", "/again/", false, runs, 0, []step{broken, unframed(true, "hello")}, "hello", 2, true},
		{"a body of the last attempt, its entry stays", "/again/", false, gone, 0, []step{broken, unframed(true, "hello")}, "", 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &leavingTargets{scriptedTargets: scriptedTargets{script: tt.answers, sign: tt.sign}, removed: tt.removed}
				fake.service = serve.New(newState(), fake, discard{}, discard{})
				defer fake.service.Close()
				fake.onSend = func() {
					fake.service.Change(func(s dispatch.State, now time.Time) dispatch.State {
						var targets []roster.Target
						for _, target := range s.Roster.Targets() {
							target.Leaving, target.Revision = tt.listed, 50
							targets = append(targets, target)
						}
						return s.WithUpdate(dispatch.Update{Targets: targets, Revision: 50, ReadAt: now}, now)
					})
				}
				var c caller
				outcome := fake.service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: tt.path, Key: "k"}, &c)
				if c.body.String() != tt.body || (outcome.Refusal == nil) != tt.whole || len(fake.calls) != tt.calls {
					t.Errorf("the caller received %q with refusal %v after %d calls; want %q after %d, whole: %t", c.body.String(), outcome.Refusal, len(fake.calls), tt.body, tt.calls, tt.whole)
				}
				if outcome.Refusal != nil && outcome.Refusal.Ran == refusal.No {
					t.Errorf("refusal = %v, but the request ran", outcome.Refusal)
				}
			})
		})
	}
}

// TestProofOfEnd guards against half an answer that ends with its connection and is taken for
// whole, though its target crashed and another process runs at its address: behind a cut, or
// while the gateway was paused, that process may have been there for long.
func TestProofOfEnd(t *testing.T) {
	const took = 2 * time.Second // from the request to the end of the answer
	tests := []struct {
		name  string
		start int64 // of the process that the platform lists; 0 for not known
		sign  serve.Sign
		whole bool
	}{
		{"the same process", 7, serve.Sign{Reach: serve.Answered, StartUnixMilli: 7}, true},
		{"the same process over an old connection", 7, serve.Sign{Reach: serve.Answered, StartUnixMilli: 7, Age: time.Hour}, true},
		{"another process", 7, serve.Sign{Reach: serve.Answered, StartUnixMilli: 8}, false},
		{"another process over an old connection", 7, serve.Sign{Reach: serve.Answered, StartUnixMilli: 8, Age: time.Hour}, false},
		{"a process without a start time", 7, serve.Sign{Reach: serve.Answered}, false},
		{"a process that is not listed with a start time", 0, serve.Sign{Reach: serve.Answered, StartUnixMilli: 8}, false},
		{"over a connection opened before the request", 7, serve.Sign{Reach: serve.Answered, Age: took + time.Second}, true},
		{"over a connection opened as the answer began", 7, serve.Sign{Reach: serve.Answered, Age: took - 100*time.Millisecond}, true},
		{"over a connection opened late", 7, serve.Sign{Reach: serve.Answered, Age: took - time.Second}, false},
		{"no answer over an old connection", 7, serve.Sign{Reach: serve.Unreached, Age: time.Hour}, false},
		{"no process", 7, serve.Sign{Reach: serve.Refused}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := answer("hello")
				body.head.Unframed, body.partDelay = true, took
				fake := &scriptedTargets{script: []step{body}, sign: tt.sign}
				state := dispatch.New("g", "d", dispatch.Bounds{MaxStaleness: time.Minute}).WithUpdate(dispatch.Update{
					Books:   []route.Book{routes()},
					Targets: []roster.Target{{ID: "t0", Service: "s", Domain: "d", Slots: 4, Revision: 1, StartUnixMilli: tt.start}},
					ReadAt:  time.Now(),
				}, time.Now())
				service := serve.New(state, fake, discard{}, discard{})
				defer service.Close()
				var c caller
				outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/long/", Key: "k"}, &c)
				if want := map[bool]string{true: "hello"}[tt.whole]; c.body.String() != want || (outcome.Refusal == nil) != tt.whole {
					t.Errorf("the caller received %q with refusal %v, want %q, whole: %t", c.body.String(), outcome.Refusal, want, tt.whole)
				}
				if outcome.Refusal != nil && outcome.Refusal.Ran == refusal.No {
					t.Errorf("refusal = %v, but the request ran", outcome.Refusal)
				}
			})
		})
	}
}
