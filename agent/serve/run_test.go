package serve_test

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/agent/answer"
	"hornbeamtray/agent/serve"
	"hornbeamtray/core/fleet"
	"hornbeamtray/core/order"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/target"
	"hornbeamtray/core/ticket"
	"hornbeamtray/core/trail"
)

type discard struct{}

func (discard) Inc(string, string)         {}
func (discard) Gauge(string, float64)      {}
func (discard) Event(string, ...any)       {}
func (discard) Changes(_, _ trail.Trail)   {}
func (discard) Observe(_, _ time.Duration) {}

// vanishingEngine begins an endless answer to its first call, and can't be reached later.
type vanishingEngine struct{ calls atomic.Int64 }

func (e *vanishingEngine) Run(ctx context.Context, _ serve.Call, sink serve.Sink) error {
	if e.calls.Add(1) > 1 {
		return serve.ErrNotSent
	}
	sink.Begin(answer.Head{Status: 200})
	for {
		if err := sink.Write(ctx, make([]byte, 1<<10)); err != nil {
			return err
		}
	}
}

func (*vanishingEngine) Order(context.Context, order.Order) error { return nil }

// blockedAnswer returns the answer to a request of a service whose answers can be resumed, which
// its reader has blocked for longer than the block timeout.
func blockedAnswer(t *testing.T, engine serve.Engine) *serve.AnswerReader {
	t.Helper()
	configuration := fleet.NewConfiguration().WithVersion(1).
		WithDomain(fleet.NewDomain("east")).
		WithService(fleet.NewService("orders", fleet.Plain).WithIdempotent("status").WithResumes(true)).
		WithTarget(fleet.NewTarget("t1", "orders", "east", "10.0.0.1:1").WithLimit(4))
	service := serve.New(target.New("t1", "now"), engine, discard{}, discard{}, serve.WithBlockTimeout(time.Second))
	t.Cleanup(func() { _ = service.Close() })
	service.Offer(configuration, nil)
	synctest.Wait()
	reader, refused := service.Serve(t.Context(), serve.Request{
		Request:   target.Request{Ticket: ticket.New("s", "bench", "orders", "status", time.Now().Add(time.Minute)).WithTarget("t1", "now"), Idempotent: true},
		Remaining: time.Minute,
	})
	if refused != nil {
		t.Fatal(refused)
	}
	t.Cleanup(reader.Close)
	time.Sleep(2 * time.Second)
	return reader
}

// TestRefusedAfterPause guards against a run that is called not run, since its target
// could not be reached when the run was to be resumed after a pause.
func TestRefusedAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &vanishingEngine{}
		reader := blockedAnswer(t, engine)
		for {
			part, err := reader.Next(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if part.Refusal == nil {
				continue
			}
			if engine.calls.Load() != 2 || part.Refusal.Ran == refusal.No {
				t.Errorf("refusal = %v after %d calls, want one that does not say that the request did not run, after 2", part.Refusal, engine.calls.Load())
			}
			return
		}
	})
}

// changingEngine answers its calls with the given statuses. The first answer is longer than the
// agent buffers, the others have one part or none.
type changingEngine struct {
	statuses []int
	more     string // of the other answers
	calls    atomic.Int64
}

func (e *changingEngine) Run(ctx context.Context, _ serve.Call, sink serve.Sink) error {
	call := int(e.calls.Add(1))
	sink.Begin(answer.Head{Status: e.statuses[call-1]})
	if call > 1 && e.more == "" {
		return nil
	}
	if call > 1 {
		return sink.Write(ctx, []byte(e.more))
	}
	for range longAnswer >> 10 {
		if err := sink.Write(ctx, make([]byte, 1<<10)); err != nil {
			return err
		}
	}
	return nil
}

func (*changingEngine) Order(context.Context, order.Order) error { return nil }

const longAnswer = 4 * target.WindowBytes

// TestAnswersOfTwoCalls guards against a caller that receives the answers of two calls as one,
// since its answer was paused and resumed: a failure is not resumed, and continues nothing.
func TestAnswersOfTwoCalls(t *testing.T) {
	tests := []struct {
		name     string
		statuses []int
		more     string
		calls    int64
		whole    bool
	}{
		{"a success that goes on", []int{200, 200}, "more", 2, true},
		{"a success, then a failure", []int{200, 500}, "more", 2, false},
		{"a success, then a failure without a body", []int{200, 500}, "", 2, false},
		{"a success, then not found", []int{200, 404}, "more", 2, false},
		{"a failure", []int{500, 500}, "more", 1, true},
		{"a failure, then a success", []int{500, 200}, "more", 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &changingEngine{statuses: tt.statuses, more: tt.more}
				reader := blockedAnswer(t, engine)
				var data []byte
				for {
					part, err := reader.Next(t.Context())
					if err != nil {
						t.Fatal(err)
					}
					if data = append(data, part.Data...); part.End == nil && part.Refusal == nil {
						continue
					}
					if calls := engine.calls.Load(); calls != tt.calls || (part.End != nil) != tt.whole {
						t.Errorf("the answer ended with refusal %v after %d calls, want %d, whole: %t", part.Refusal, calls, tt.calls, tt.whole)
					}
					break
				}
				if continued := bytes.HasSuffix(data, []byte("more")); continued != (tt.whole && tt.calls > 1) {
					t.Errorf("the answer holds that of the second call: %t, after statuses %v", continued, tt.statuses)
				}
				if tt.calls == 1 && len(data) != longAnswer {
					t.Errorf("received %d bytes, want %d", len(data), longAnswer)
				}
			})
		})
	}
}
