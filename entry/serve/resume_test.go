package serve_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamtray/core/entry"
	"hornbeamtray/core/fleet"
	"hornbeamtray/core/ledger"
	"hornbeamtray/core/ticket"
	"hornbeamtray/core/trail"
	"hornbeamtray/entry/serve"
)

// scriptedAgents answers each call with the next list of parts, after which the
// connection breaks.
type scriptedAgents struct{ script [][]serve.Part }

func (a *scriptedAgents) Serve(_ context.Context, _ string, call serve.Call) (serve.Stream, error) {
	if len(a.script) == 0 {
		return nil, errors.New("no agent can be reached")
	}
	parts := a.script[0]
	a.script = a.script[1:]
	for i := range parts {
		parts[i].ID, parts[i].Attempt = call.Ticket.ID, call.Attempt
	}
	return &scriptedStream{parts}, nil
}

func (a *scriptedAgents) Void(context.Context, string, ticket.Ticket) (ledger.Stage, error) {
	return ledger.Absent, errors.New("no agent can be reached")
}

type scriptedStream struct{ parts []serve.Part }

func (s *scriptedStream) Close() {}
func (s *scriptedStream) Next() (serve.Part, error) {
	if len(s.parts) == 0 {
		return serve.Part{}, io.ErrUnexpectedEOF
	}
	part := s.parts[0]
	s.parts = s.parts[1:]
	return part, nil
}

// answer records what a caller receives.
type answer struct {
	heads []serve.Head
	body  strings.Builder
}

func (a *answer) WriteHead(_ ticket.Ticket, head serve.Head) error {
	a.heads = append(a.heads, head)
	return nil
}

func (a *answer) Write(p []byte) error {
	a.body.Write(p)
	return nil
}

type discard struct{}

func (discard) Inc(string, string)            {}
func (discard) Gauge(string, float64)         {}
func (discard) Observe(string, time.Duration) {}
func (discard) Event(string, ...any)          {}
func (discard) Changes(_, _ trail.Trail)      {}

// TestErrorAfterAnswerBegan guards against the text of a target's error in the middle of
// an answer that another target began, and against an answer that then ends as if whole. Nor does
// a run continue the error with which another has failed.
func TestErrorAfterAnswerBegan(t *testing.T) {
	head := func(status int) serve.Part { return serve.Part{Head: &serve.Head{Status: status}} }
	tests := []struct {
		name  string
		first int // status of the answer that breaks off
		next  int // status of the answer of another target
		whole bool
	}{
		{"continued", 200, 200, true},
		{"not found", 200, 404, false},
		{"server error", 200, 500, false},
		{"server error twice", 500, 500, false},
		{"not found twice", 404, 404, false},
		{"server error, then an answer", 500, 200, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			agents := &scriptedAgents{script: [][]serve.Part{
				{head(tt.first), {Data: []byte("begun ")}},
				{head(tt.next), {Offset: 6, Data: []byte("more")}, {End: &serve.End{Length: 10, Digest: xxhash.Sum64String("more")}}},
			}}
			service := serve.New(entry.New("e", "d"), agents, discard{}, discard{})
			defer service.Close()
			service.Offer(fleet.NewConfiguration().WithVersion(1).WithDomain(fleet.NewDomain("d")).
				WithService(fleet.NewService("s", fleet.Plain).WithIdempotent("read").WithResumes(true)).
				WithAccount(fleet.NewAccount("acme", "digest").WithRate(100, 100)).
				WithTarget(fleet.NewTarget("t0", "s", "d", "a0:1")).WithTarget(fleet.NewTarget("t1", "s", "d", "a1:1")), nil)
			for _, id := range []string{"t0", "t1"} {
				service.HandleReport(id, entry.Report{Incarnation: id, Limit: 10, Taking: true, Version: 1})
			}
			var a answer
			outcome := service.Serve(t.Context(), serve.Request{KeyDigest: "digest", Service: "s", Call: "read"}, &a)
			want := "begun "
			if tt.whole {
				want += "more"
			}
			if len(a.heads) != 1 || a.body.String() != want || (outcome.Refusal == nil) != tt.whole {
				t.Errorf("the caller received %d heads and %q with refusal %v, want one head and %q, whole: %t", len(a.heads), a.body.String(), outcome.Refusal, want, tt.whole)
			}
		})
	}
}
