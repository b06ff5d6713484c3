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
				fake := &crashedTargets{scriptedTargets{script: tt.answers}}
				var targets serve.Targets = fake
				if !tt.gone {
					targets = &fake.scriptedTargets
				}
				service := serve.New(newState(), targets, discard{}, discard{})
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

	presence serve.Presence
	service  *serve.Service
	removed  time.Duration // 0 for never
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

// Presence implements serve.Targets.
func (l *leavingTargets) Presence(context.Context, string, int64) serve.Presence { return l.presence }

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
	const soon, late = 100 * time.Millisecond, 5 * time.Second
	tests := []struct {
		name     string
		path     string
		listed   bool // the platform lists all targets as leaving
		presence serve.Presence
		removed  time.Duration
		answers  []step
		body     string
		calls    int
		whole    bool
	}{
		{"a stream, its entry is removed", "/single/", false, serve.Gone, soon, []step{unframed(true, "id: 1\n\n")}, "id: 1\n\n", 1, false},
		{"a stream, its entry stays", "/single/", false, serve.Gone, late, []step{unframed(true, "id: 1\n\n")}, "id: 1\n\n", 1, false},
		{"a stream, it can't be reached, its entry is removed", "/single/", false, serve.PresenceUnknown, soon, []step{unframed(true, "id: 1\n\n")}, "id: 1\n\n", 1, false},
		{"a stream, it can't be reached", "/single/", false, serve.PresenceUnknown, 0, []step{unframed(true, "id: 1\n\n")}, "id: 1\n\n", 1, false},
		{"a stream, it can't be reached and doesn't leave", "/single/", false, serve.PresenceUnknown, 0, []step{unframed(false, "id: 1\n\n")}, "id: 1\n\n", 1, false},
		{"a stream, it still runs", "/single/", false, serve.Present, 0, []step{unframed(true, "id: 1\n\n")}, "id: 1\n\n", 1, true},
		{"a stream that began before it left", "/single/", true, serve.Gone, soon, []step{unframed(false, "id: 1\n\n")}, "id: 1\n\n", 1, false},
		{"a stream that began before it left, it still runs", "/single/", true, serve.Present, 0, []step{unframed(false, "id: 1\n\n")}, "id: 1\n\n", 1, true},
		{"a stream that may be resumed", "/stream/", false, serve.Gone, soon, []step{unframed(true, "id: 1\n\n"), answer()}, "id: 1\n\n", 2, true},
		{"a body, its entry is removed", "/once/", false, serve.Gone, soon, []step{unframed(true, "hello")}, "", 1, false},
		{"a body, it still runs", "/once/", false, serve.Present, 0, []step{unframed(true, "hello")}, "hello", 1, true},
		{"a body, its entry stays", "/once/", false, serve.Gone, 0, []step{unframed(true, "hello")}, "", 1, false},
		{"a body of an idempotent request", "/again/", false, serve.Gone, soon, []step{unframed(true, "hel"), answer("hello")}, "hello", 2, true},
		{"a body of the last attempt", "/again/", false, serve.Gone, soon, []step{broken, unframed(true, "hello")}, "", 2, false},
		{"a body of the last attempt, it still runs", "/again/", false, serve.Present, 0, []step{broken, unframed(true, "hello")}, "hello", 2, true},
		{"a body of the last attempt, its entry stays", "/again/", false, serve.Gone, 0, []step{broken, unframed(true, "hello")}, "", 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &leavingTargets{scriptedTargets: scriptedTargets{script: tt.answers}, presence: tt.presence, removed: tt.removed}
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
