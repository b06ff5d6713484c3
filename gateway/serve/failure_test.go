package serve_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/route"
	"hornbeamtray/gateway/serve"
)

// TestAnswerNotDelivered guards against running a request again after its answer was
// lost on the way to the caller, whose disconnection the gateway may not know yet: the
// attempt ran, and the refusal must not say otherwise.
func TestAnswerNotDelivered(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		caller caller
		answer step
	}{
		{"a body, the caller gone", "/once/", caller{disconnected: true}, answer("x")},
		{"a head, the caller gone", "/once/", caller{noHead: true}, answer("x")},
		{"an answer without a body", "/once/", caller{noHead: true}, answer()},
		{"a large body", "/once/", caller{disconnected: true}, answer(strings.Repeat("x", 16<<10), strings.Repeat("x", 16<<10), strings.Repeat("x", 16<<10), strings.Repeat("x", 16<<10))},
		{"a stream that can't be resumed", "/single/", caller{disconnected: true}, answer("id: 1\n\n")},
		{"a stream without events", "/single/", caller{noHead: true}, answer()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &scriptedTargets{script: []step{tt.answer, answer("x")}}
				service := serve.New(newState(), fake, discard{}, discard{})
				defer service.Close()
				outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: tt.path, Key: "k"}, &tt.caller)
				if len(fake.calls) != 1 {
					t.Errorf("the request was sent %d times, want once", len(fake.calls))
				}
				if outcome.Refusal == nil || outcome.Refusal.Ran == refusal.No {
					t.Errorf("refusal = %v, want one that does not say that the request did not run", outcome.Refusal)
				}
			})
		})
	}
}

// TestAnswersOfTwoRuns guards against a caller that receives part of a long answer that is no
// stream, followed by another run's answer, as one complete answer.
func TestAnswersOfTwoRuns(t *testing.T) {
	long := strings.Repeat("the model failed\n", 6000)
	broken := func(code int) step {
		s := status(code)
		s.head.Length, s.parts, s.breaksOff = -1, []string{long}, true
		return s
	}
	whole := func(code int) step {
		s := status(code)
		s.head.Length, s.parts = -1, []string{long}
		return s
	}
	stream := answer("id: 1\n\n")
	tests := []struct {
		name   string
		path   string
		script []step
		status int
		whole  bool
	}{
		{"a failure on a stream's route, then a stream", "/stream/", []step{broken(500), stream}, 500, false},
		{"a failure on a stream's route, then another", "/stream/", []step{broken(500), whole(500)}, 500, false},
		{"a client error on a stream's route, then a stream", "/stream/", []step{broken(404), stream}, 404, false},
		{"a failure on a stream's route that can't be resumed, then a stream", "/single/", []step{broken(500), stream}, 500, false},
		{"a failure on an idempotent route, then an answer", "/again/", []step{broken(500), whole(200)}, 500, false},
		{"an answer on an idempotent route, then another", "/again/", []step{broken(200), whole(200)}, 200, false},
		{"a whole failure on a stream's route", "/stream/", []step{whole(500), stream}, 500, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &scriptedTargets{script: tt.script}
				service := serve.New(newState(), fake, discard{}, discard{})
				defer service.Close()
				var c caller
				outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: tt.path, Key: "k"}, &c)
				if len(c.heads) != 1 || c.heads[0].Status != tt.status || c.body.String() != long || len(fake.calls) != 1 {
					t.Errorf("the caller received heads %+v and %d bytes of %d calls, want one with status %d and %d bytes of one", c.heads, c.body.Len(), len(fake.calls), tt.status, len(long))
				}
				if (outcome.Refusal == nil) != tt.whole || !outcome.HeadSent {
					t.Errorf("refusal = %v, want none: %t", outcome.Refusal, tt.whole)
				}
				if outcome.Refusal != nil && outcome.Refusal.Ran == refusal.No {
					t.Errorf("refusal = %v, but the request ran", outcome.Refusal)
				}
			})
		})
	}
}

// TestRepeatAfterRouteChanged guards against a second run of a request whose route was
// declared not repeatable after its first attempt, which may have run.
func TestRepeatAfterRouteChanged(t *testing.T) {
	routed := func(kind route.Kind, resumable bool) []route.Route {
		return []route.Route{{
			Name: "x", Host: "h", Prefix: "/x/", Kind: kind, Resumable: resumable, Timeout: 8 * time.Second, Attempts: 2,
			Shares: []route.Share{{Service: "s", Weight: 1}},
		}}
	}
	broken := step{err: errors.New("connection reset")}
	tests := []struct {
		name          string
		before, after []route.Route
		first         step
		calls         int
		ran           refusal.Ran // empty if the request is answered
	}{
		{"idempotent, then not", routed(route.Idempotent, false), routed(route.AtMostOnce, false), broken, 1, refusal.Unknown},
		{"resumable, then not", routed(route.Stream, true), routed(route.Stream, false), broken, 1, refusal.Unknown},
		{"idempotent, then not, first attempt not run", routed(route.Idempotent, false), routed(route.AtMostOnce, false), notRun(false), 2, ""},
		{"not idempotent, then so", routed(route.AtMostOnce, false), routed(route.Idempotent, false), broken, 1, refusal.Unknown},
		{"idempotent, then dropped", routed(route.Idempotent, false), nil, broken, 2, ""},
		{"unchanged", routed(route.Idempotent, false), routed(route.Idempotent, false), broken, 2, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				book := func(version uint64, routes []route.Route) route.Book {
					return route.NewBook(version, route.WithRoutes(routes...), route.WithServices(route.Service{Name: "s"}), route.WithAccount(route.Account{Name: "acme"}, "k"))
				}
				fake := &scriptedTargets{script: []step{tt.first, answer("id: 1\n\n")}}
				service := serve.New(newState().WithBook(book(6, tt.before), time.Now()), fake, discard{}, discard{})
				defer service.Close()
				fake.onSend = func() {
					service.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithBook(book(7, tt.after), now) })
				}
				outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/x/", Key: "k"}, &caller{})
				if len(fake.calls) != tt.calls {
					t.Errorf("the request was sent %d times, want %d", len(fake.calls), tt.calls)
				}
				if (outcome.Refusal == nil) != (tt.ran == "") || outcome.Refusal != nil && outcome.Refusal.Ran != tt.ran {
					t.Errorf("refusal = %v, want ran=%q, or none if that is empty", outcome.Refusal, tt.ran)
				}
			})
		})
	}
}

// TestDribblingStream checks that progress of a stream is measured in events: one whose
// target sends a byte now and then but no event moves on to another target before the
// caller gives up, and one that is slow but sound, with parts of each event arriving
// one by one, is not cut.
func TestDribblingStream(t *testing.T) {
	dribble := answer(strings.Split("data: "+strings.Repeat("x", 100), "")...)
	dribble.partDelay = 500 * time.Millisecond
	var parts []string
	for n := range 6 {
		parts = append(parts, fmt.Sprintf("id: %d\n", n), "data: a", "bc\n\n")
	}
	slow := answer(parts...)
	slow.partDelay = 500 * time.Millisecond
	tests := []struct {
		name  string
		first step
		calls int
	}{
		{"stalled", dribble, 2}, {"sound", slow, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &scriptedTargets{script: []step{tt.first, answer("id: 9\n\n")}}
				service := serve.New(newState(), fake, discard{}, discard{})
				defer service.Close()
				start := time.Now()
				outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/slow/", Key: "k"}, &caller{})
				if outcome.Refusal != nil || len(fake.calls) != tt.calls {
					t.Errorf("refusal = %v after %d calls, want none after %d", outcome.Refusal, len(fake.calls), tt.calls)
				}
				if took := time.Since(start); tt.calls == 2 && took > 4*time.Second {
					t.Errorf("the stalled stream was given up after %s, want before the caller gives up after 4 s", took)
				}
			})
		})
	}
}

// TestEventsWithoutID checks that a stream is resumed after its last event that has
// an ID, also if events without one followed: resumed from its start, it would repeat
// events.
func TestEventsWithoutID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &scriptedTargets{script: []step{
			{head: serve.Head{Status: 200, Signed: true}, parts: []string{"data: x\n\n"}, breaksOff: true}, answer("id: 8\n\n"),
		}}
		service := serve.New(newState(), fake, discard{}, discard{})
		defer service.Close()
		service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k", LastEventID: "7"}, &caller{})
		if len(fake.calls) != 2 || fake.calls[1].LastEventID != "7" {
			t.Errorf("calls are %+v, want the second with LastEventID 7", fake.calls)
		}
	})
}

// TestEndlessEvent checks that a target that sends an event without end is given up
// long before the event fills the memory.
func TestEndlessEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &endlessTargets{event: "data: xxxxxxxxxx\n"}
		service := serve.New(newState(), fake, discard{}, discard{})
		defer service.Close()
		outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/single/", Key: "k"}, &caller{})
		if outcome.Refusal == nil || outcome.Refusal.Ran == refusal.No {
			t.Errorf("refusal = %v, want one that does not say that the request did not run", outcome.Refusal)
		}
		if read := fake.read.Load(); read > 4<<20 {
			t.Errorf("%d bytes of one event were read, want at most 4 MiB", read)
		}
	})
}

// TestLostGroup replays the requests of an outage of all groups of a service that ends 0.8 s
// after it began. Nothing is known of its length, so that callers wait while it has lasted
// for less than the time that they have, whatever share of the route's time that is. One
// with less time is refused once the outage has taken half of it, and told that there
// is no use in returning.
func TestLostGroup(t *testing.T) {
	tests := []struct {
		name    string
		timeout time.Duration
		served  bool
	}{
		{"the route's whole time", 8 * time.Second, true}, {"less time", 5300 * time.Millisecond, true}, {"little time", 500 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := serve.New(newState(), &scriptedTargets{script: []step{answer("id: 1\n\n")}}, discard{}, discard{})
				defer service.Close()
				lost, _ := service.State().Roster.Target("t0")
				for ms := 0; ms < 800; ms += 100 { // keeps probes from becoming due
					time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
						service.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithGroupLost(lost, now) })
					})
				}
				time.Sleep(time.Millisecond)
				time.AfterFunc(800*time.Millisecond, func() {
					service.Change(func(s dispatch.State, now time.Time) dispatch.State {
						return s.WithGroupRecovered(lost, now)
					})
				})
				synctest.Wait()
				start := time.Now()
				outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k", Timeout: tt.timeout}, &caller{})
				took := time.Since(start)
				if served := outcome.Refusal == nil; served != tt.served {
					t.Fatalf("refusal = %v after %s, want served: %t", outcome.Refusal, took, tt.served)
				}
				if tt.served && took > time.Second || !tt.served && took > tt.timeout/2+100*time.Millisecond {
					t.Errorf("ended after %s", took)
				}
				if !tt.served && (outcome.Refusal.Ran != refusal.No || outcome.Refusal.Retryable) {
					t.Errorf("refusal = %v, want ran=no and no time to return", outcome.Refusal)
				}
			})
		})
	}
}

// TestErrorAfterStreamBegan guards against the text of a target's error in the middle of a
// stream that another target began, and against a stream that then ends as if complete.
func TestErrorAfterStreamBegan(t *testing.T) {
	began := step{head: serve.Head{Status: 200, Signed: true, Length: -1}, parts: []string{"id: 1\n\n"}, breaksOff: true}
	failed := func(code int, length int) step {
		return step{head: serve.Head{Status: code, Signed: true, Length: int64(length)}, parts: []string{strings.Repeat("error ", length/6)}}
	}
	large := failed(404, 96<<10)
	large.parts = slices.Repeat([]string{strings.Repeat("x", 8<<10)}, 12)
	tests := []struct {
		name   string
		second step
	}{
		{"not found", failed(404, 12)},
		{"redirect", failed(302, 12)},
		{"server error", failed(500, 12)},
		{"a large error", large},
		{"without a body", status(410)},
		{"refused without running", notRun(false)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &scriptedTargets{script: []step{began, tt.second}}
				service := serve.New(newState(), fake, discard{}, discard{})
				defer service.Close()
				var c caller
				outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k"}, &c)
				if len(c.heads) != 1 || c.body.String() != "id: 1\n\n" {
					t.Errorf("the caller received %d heads and %d bytes, %.60q; want one head and the first event", len(c.heads), c.body.Len(), c.body.String())
				}
				if outcome.Refusal == nil || !outcome.HeadSent || outcome.Refusal.Ran == refusal.No {
					t.Errorf("outcome is %+v, want an incomplete answer", outcome)
				}
			})
		})
	}
}
