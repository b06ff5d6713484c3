package serve_test

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"hornbeamtray/core/refusal"
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
		{"a stream without events, the target crashed", "/stream/", true, []step{unframed(false), answer("id: 1\n\n")}, "id: 1\n\n", ""},
		{"a stream inside an event", "/stream/", false, []step{unframed(false, "id: 1\n\nid"), answer("id: 2\n\n")}, "id: 1\n\nid: 2\n\n", ""},
		{"a stream, the target left", "/stream/", true, []step{unframed(true, "id: 1\n\n")}, "id: 1\n\n", ""},
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
