package serve_test

import (
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

// TestRefusedAfterPause guards against a run that is called not run, since its target
// could not be reached when the run was to be resumed after a pause.
func TestRefusedAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		configuration := fleet.NewConfiguration().WithVersion(1).
			WithDomain(fleet.NewDomain("east")).
			WithService(fleet.NewService("orders", fleet.Plain).WithIdempotent("status").WithResumes(true)).
			WithTarget(fleet.NewTarget("t1", "orders", "east", "10.0.0.1:1").WithLimit(4))
		engine := &vanishingEngine{}
		service := serve.New(target.New("t1", "now"), engine, discard{}, discard{}, serve.WithBlockTimeout(time.Second))
		defer service.Close()
		service.Offer(configuration, nil)
		synctest.Wait()
		reader, refused := service.Serve(t.Context(), serve.Request{
			Request:   target.Request{Ticket: ticket.New("s", "bench", "orders", "status", time.Now().Add(time.Minute)).WithTarget("t1", "now"), Idempotent: true},
			Remaining: time.Minute,
		})
		if refused != nil {
			t.Fatal(refused)
		}
		defer reader.Close()
		time.Sleep(2 * time.Second) // the reader blocks the answer
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
