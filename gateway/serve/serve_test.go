package serve_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/route"
	"hornbeamtray/core/trail"
	"hornbeamtray/gateway/serve"
)

// step is the behavior of a fake target for one call.
type step struct {
	err       error
	head      serve.Head
	parts     []string      // parts of the body
	breaksOff bool          // the connection breaks after the parts
	readErr   error         // of reads after the parts; nil for io.EOF
	headDelay time.Duration // delay of the head
	partDelay time.Duration // delay of each part
}

func answer(parts ...string) step {
	return step{head: serve.Head{Status: 200, Signed: true, Length: -1}, parts: parts}
}

func status(code int) step { return step{head: serve.Head{Status: code, Signed: true}} }

func notRun(group bool) step {
	return step{head: serve.Head{Status: 503, NotRun: true, GroupLost: group}}
}

// scriptedTargets answers the calls with the steps of a script, in order.
type scriptedTargets struct {
	script []step
	calls  []serve.Call
	onSend func() // called by Send

	sending func() serve.Sending // describes how each call is sent; nil for no description
	sign    serve.Sign           // of all targets; the zero value means that they still run
}

func (t *scriptedTargets) Send(ctx context.Context, call serve.Call) (serve.Reply, error) {
	t.calls = append(t.calls, call)
	if t.onSend != nil {
		t.onSend()
	}
	if t.sending != nil {
		call.OnSend(t.sending())
	}
	if len(t.script) == 0 {
		return nil, errors.New("the script has no more steps")
	}
	next := t.script[0]
	t.script = t.script[1:]
	if !sleep(ctx, next.headDelay) {
		return nil, ctx.Err()
	}
	if next.err != nil {
		return nil, next.err
	}
	next.parts = slices.Clone(next.parts) // Read changes them
	return &reply{ctx: ctx, step: next, targets: t}, nil
}

// Ask implements serve.Targets. By default, targets still run: the scripts break single connections.
func (t *scriptedTargets) Ask(context.Context, string) serve.Sign {
	if t.sign == (serve.Sign{}) {
		return serve.Sign{Reach: serve.Answered, Age: time.Hour}
	}
	return t.sign
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

type reply struct {
	ctx     context.Context
	step    step
	targets *scriptedTargets
}

func (r *reply) Head() serve.Head                   { return r.step.head }
func (r *reply) Close()                             {}
func (r *reply) Ask(ctx context.Context) serve.Sign { return r.targets.Ask(ctx, "") }
func (r *reply) Read(p []byte) (int, error) {
	if len(r.step.parts) == 0 {
		if r.step.breaksOff {
			return 0, io.ErrUnexpectedEOF
		}
		if r.step.readErr != nil {
			return 0, r.step.readErr
		}
		return 0, io.EOF
	}
	if !sleep(r.ctx, r.step.partDelay) {
		return 0, r.ctx.Err()
	}
	n := copy(p, r.step.parts[0])
	if r.step.parts[0] = r.step.parts[0][n:]; r.step.parts[0] == "" {
		r.step.parts = r.step.parts[1:]
	}
	return n, nil
}

// caller records what a caller received.
type caller struct {
	heads        []serve.Head
	body         strings.Builder
	disconnected bool // writes of a body fail
	noHead       bool // writes of a head fail
}

func (c *caller) Begin(head serve.Head) error {
	if c.noHead {
		return errors.New("the caller disconnected")
	}
	c.heads = append(c.heads, head)
	return nil
}

func (c *caller) Write(p []byte) error {
	if c.disconnected {
		return errors.New("the caller disconnected")
	}
	c.body.Write(p)
	return nil
}

type discard struct{}

func (discard) Inc(string, string)            {}
func (discard) Gauge(string, float64)         {}
func (discard) Observe(string, time.Duration) {}
func (discard) Event(string, ...any)          {}
func (discard) Changes(_, _ trail.Trail)      {}

func routes() route.Book {
	shares := []route.Share{{Service: "s", Weight: 1}}
	return route.NewBook(5,
		route.WithRoutes(
			route.Route{Name: "once", Host: "h", Prefix: "/once/", Kind: route.AtMostOnce, Timeout: 600 * time.Millisecond, Attempts: 2, Shares: shares},
			route.Route{Name: "long", Host: "h", Prefix: "/long/", Kind: route.AtMostOnce, Timeout: 8 * time.Second, Attempts: 2, Shares: shares},
			route.Route{Name: "again", Host: "h", Prefix: "/again/", Kind: route.Idempotent, Timeout: 600 * time.Millisecond, Attempts: 2, Shares: shares},
			route.Route{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Stream, Resumable: true, Timeout: 8 * time.Second, Attempts: 2, Shares: shares},
			route.Route{Name: "single", Host: "h", Prefix: "/single/", Kind: route.Stream, Timeout: 8 * time.Second, Attempts: 2, Shares: shares},
			route.Route{Name: "slow", Host: "h", Prefix: "/slow/", Kind: route.Stream, Resumable: true, Timeout: 30 * time.Second, Objective: time.Second, Attempts: 2, Shares: shares},
			route.Route{Name: "pausing", Host: "h", Prefix: "/pausing/", Kind: route.Stream, Resumable: true, Timeout: 30 * time.Second, GapObjective: 500 * time.Millisecond, Attempts: 2, Shares: shares},
		),
		route.WithServices(route.Service{Name: "s"}),
		route.WithAccount(route.Account{Name: "acme"}, "k"),
	)
}

func newState() dispatch.State {
	var list []roster.Target
	for i := range 4 {
		list = append(list, roster.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Domain: "d", Slots: 4, Revision: uint64(i + 1), StartUnixMilli: 7})
	}
	return dispatch.New("g", "d", dispatch.Bounds{MaxStaleness: time.Minute}).
		WithUpdate(dispatch.Update{Books: []route.Book{routes()}, Targets: list, ReadAt: time.Now()}, time.Now())
}

func TestServe(t *testing.T) {
	broken := step{err: errors.New("connection reset")}
	notSent := step{err: fmt.Errorf("%w: refused", serve.ErrNotSent)}
	unsigned := step{head: serve.Head{Status: 200}, parts: []string{"x"}}
	unproven := step{head: serve.Head{Status: 503, Signed: true, Promises: true}, parts: []string{"full"}}
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }
	cutStream := step{head: serve.Head{Status: 200, Signed: true, Length: -1}, parts: []string{event(1), event(2), "id: 3\nda"}, breaksOff: true}
	delayed, pausing := answer(event(1)), answer(event(1), event(2))
	delayed.headDelay, pausing.partDelay = 3*time.Second, 3*time.Second
	tests := []struct {
		name   string
		path   string
		script []step
		status int          // of the answer; 0 if none is written
		body   string       // as the caller receives it
		kind   refusal.Kind // of the refusal
		ran    refusal.Ran
		calls  int
	}{
		{"answered", "/once/", []step{answer("hello")}, 200, "hello", "", "", 1},
		{"once, broken", "/once/", []step{broken, answer("x")}, 0, "", refusal.Cut, refusal.Unknown, 1},
		{"once, not sent", "/once/", []step{notSent, answer("x")}, 200, "x", "", "", 2},
		{"once, not run", "/once/", []step{notRun(false), answer("x")}, 200, "x", "", "", 2},
		{"once, not run and then broken", "/once/", []step{notRun(false), broken, answer("x")}, 0, "", refusal.Cut, refusal.Unknown, 2},
		{"once, not run anywhere", "/once/", []step{notRun(false), notRun(false), notRun(false), notRun(false)}, 0, "", refusal.Busy, refusal.No, 4},
		{"once, answer cut", "/once/", []step{{head: serve.Head{Status: 200, Signed: true}, parts: []string{"he"}, breaksOff: true}}, 0, "", refusal.Cut, refusal.Unknown, 1},
		{"once, failed", "/once/", []step{status(500), answer("x")}, 500, "", "", "", 1},
		{"once, unsigned", "/once/", []step{unsigned, answer("x")}, 0, "", refusal.Cut, refusal.Unknown, 1},
		{"once, refused without a statement", "/once/", []step{unproven, answer("x")}, 0, "", refusal.Failed, refusal.Unknown, 1},
		{"once, not run and then refused without a statement", "/once/", []step{notRun(false), unproven, answer("x")}, 0, "", refusal.Failed, refusal.Unknown, 2},
		{"again, refused without a statement", "/again/", []step{unproven, answer("x")}, 200, "x", "", "", 2},
		{"again, refused without a statement twice", "/again/", []step{unproven, unproven, answer("x")}, 0, "", refusal.Failed, refusal.Unknown, 2},
		{"again, failed and then refused without a statement", "/again/", []step{status(500), unproven, answer("x")}, 500, "", "", "", 2},
		{"stream that can't be resumed, refused without a statement", "/single/", []step{unproven, answer(event(1))}, 0, "", refusal.Failed, refusal.Unknown, 1},
		{"stream cut and then refused without a statement", "/stream/", []step{cutStream, unproven, answer(event(3))}, 200, event(1) + event(2), refusal.Failed, refusal.Unknown, 2},
		{"again, broken", "/again/", []step{broken, answer("x")}, 200, "x", "", "", 2},
		{"again, broken too often", "/again/", []step{broken, broken, answer("x")}, 0, "", refusal.Cut, refusal.Unknown, 2},
		{"again, failed", "/again/", []step{status(500), answer("x")}, 200, "x", "", "", 2},
		{"again, failed twice", "/again/", []step{status(500), status(502), answer("x")}, 502, "", "", "", 2},
		{"again, broken and then not run", "/again/", []step{broken, notRun(false), notRun(false), notRun(false)}, 0, "", refusal.Busy, refusal.Unknown, 4},
		{"again, unsigned", "/again/", []step{unsigned, answer("x")}, 200, "x", "", "", 2},
		{"again, client error", "/again/", []step{status(404), answer("x")}, 404, "", "", "", 1},
		{"again, silent", "/again/", []step{{headDelay: time.Hour}, answer("x")}, 200, "x", "", "", 2},
		{"once, silent", "/once/", []step{{headDelay: time.Hour}, answer("x")}, 0, "", refusal.Deadline, refusal.Unknown, 1},
		{"group lost for a moment", "/stream/", []step{notRun(true), answer(event(1))}, 200, event(1), "", "", 2},
		{"group lost for long", "/stream/", []step{notRun(true), notRun(true), notRun(true), notRun(true)}, 0, "", refusal.Busy, refusal.No, 4},
		{"stream", "/stream/", []step{answer(event(1), event(2)+event(3))}, 200, event(1) + event(2) + event(3), "", "", 1},
		{"stream in odd pieces", "/stream/", []step{answer("id: 1\nda", "ta: x\n", "\n"+event(2))}, 200, event(1) + event(2), "", "", 1},
		{"stream resumed", "/stream/", []step{cutStream, answer(event(3))}, 200, event(1) + event(2) + event(3), "", "", 2},
		{"stream resumed after silence", "/stream/", []step{{head: serve.Head{Status: 200, Signed: true, Length: -1}, parts: []string{event(1)}, breaksOff: true}, answer(event(2))}, 200, event(1) + event(2), "", "", 2},
		{"stream cut twice", "/stream/", []step{cutStream, {head: serve.Head{Status: 200, Signed: true}, parts: []string{event(3)}, breaksOff: true}}, 200, event(1) + event(2) + event(3), refusal.Cut, refusal.Unknown, 2},
		{"stream that can't be resumed", "/single/", []step{cutStream, answer(event(3))}, 200, event(1) + event(2), refusal.Cut, refusal.Unknown, 1},
		{"stream without events", "/stream/", []step{answer()}, 200, "", "", "", 1},
		{"stream, silent for long", "/stream/", []step{{headDelay: time.Hour}, answer(event(1))}, 200, event(1), "", "", 2},
		{"stream, as silent as its goal allows", "/slow/", []step{delayed, answer("x")}, 200, event(1), "", "", 1},
		{"stream, pauses as its longest pause allows", "/pausing/", []step{pausing, answer("x")}, 200, event(1) + event(2), "", "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &scriptedTargets{script: tt.script}
				service := serve.New(newState(), fake, discard{}, discard{})
				defer service.Close()
				var c caller
				outcome := service.Serve(t.Context(), serve.Request{
					Message: serve.Message{Method: "POST", Target: tt.path}, ID: "r", Host: "h", Path: tt.path, Key: "k",
				}, &c)
				checkOutcome(t, outcome, &c, tt.status, tt.kind, tt.ran)
				if c.body.String() != tt.body || len(fake.calls) != tt.calls {
					t.Errorf("received body %q after %d calls, want %q after %d", c.body.String(), len(fake.calls), tt.body, tt.calls)
				}
				checkCalls(t, fake.calls)
				synctest.Wait()
				if s := service.State(); s.InFlight != 0 || len(s.Loads()) != 0 {
					t.Errorf("%d requests are in flight after the answer, at targets %v; want none", s.InFlight, s.Loads())
				}
			})
		})
	}
}

func checkOutcome(t *testing.T, got serve.Outcome, c *caller, status int, kind refusal.Kind, ran refusal.Ran) {
	t.Helper()
	if (got.Refusal != nil) != (kind != "") {
		t.Fatalf("refusal = %v, want kind %q", got.Refusal, kind)
	}
	if kind != "" && (got.Refusal.Kind != kind || got.Refusal.Ran != ran) {
		t.Errorf("refusal = %v, want kind %s with ran=%s", got.Refusal, kind, ran)
	}
	if (status != 0) != (len(c.heads) == 1) || len(c.heads) > 1 {
		t.Fatalf("%d heads were written, want one with status %d, or none if that is 0", len(c.heads), status)
	}
	if status != 0 && c.heads[0].Status != status {
		t.Errorf("status = %d, want %d", c.heads[0].Status, status)
	}
}

// checkCalls checks that no target is called twice, that each call has the ID and
// the account of the request, and that the timeouts don't increase.
func checkCalls(t *testing.T, calls []serve.Call) {
	t.Helper()
	var called []string
	for i, c := range calls {
		if slices.Contains(called, c.Instance) {
			t.Errorf("target %s was called twice", c.Instance)
		}
		called = append(called, c.Instance)
		if i > 0 && c.Timeout > calls[i-1].Timeout || c.ID != "r" || c.Account != "acme" {
			t.Errorf("call %d is %+v; want ID r, account acme and no longer timeout than before", i, c)
		}
	}
}

func TestResumeAfterLastCompleteEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &scriptedTargets{script: []step{
			{head: serve.Head{Status: 200, Signed: true}, parts: []string{"id: 8\n\nid: 9\n\nid: 10"}, breaksOff: true}, answer("id: 10\n\n"),
		}}
		service := serve.New(newState(), fake, discard{}, discard{})
		defer service.Close()
		outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k", LastEventID: "7"}, &caller{})
		if outcome.Refusal != nil || fake.calls[0].LastEventID != "7" || fake.calls[1].LastEventID != "9" {
			t.Errorf("calls are %+v, refusal %v; want LastEventID 7, then 9, and no refusal", fake.calls, outcome.Refusal)
		}
	})
}

// TestSilentStream checks that a stream whose target sends nothing continues at
// another target before the caller gives up.
func TestSilentStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := answer("id: 1\n\n", "id: 2\n\n")
		slow.partDelay = time.Hour
		fake := &scriptedTargets{script: []step{slow, answer("id: 1\n\n")}}
		service := serve.New(newState(), fake, discard{}, discard{})
		defer service.Close()
		start := time.Now()
		outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k"}, &caller{})
		if took := time.Since(start); outcome.Refusal != nil || took > 2*time.Second {
			t.Errorf("answered after %s with refusal %v, want an answer within the 2 s that callers wait", took, outcome.Refusal)
		}
	})
}

// TestKeyTakenAway checks that a request is not retried if its key is revoked
// after the first attempt.
func TestKeyTakenAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &scriptedTargets{script: []step{notRun(false), answer("x")}}
		service := serve.New(newState(), fake, discard{}, discard{})
		defer service.Close()
		fake.onSend = func() {
			service.Change(func(s dispatch.State, now time.Time) dispatch.State {
				return s.WithBook(route.NewBook(6, route.WithAccount(route.Account{Name: "acme"})), now)
			})
		}
		outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/once/", Key: "k"}, &caller{})
		if outcome.Refusal == nil || outcome.Refusal.Ran != refusal.No || len(fake.calls) != 1 {
			t.Errorf("refusal = %v after %d calls, want ran=no after 1", outcome.Refusal, len(fake.calls))
		}
	})
}

// TestCallerDisconnects checks that a request ends at once, without another attempt,
// when its caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &scriptedTargets{script: []step{{headDelay: time.Hour}, answer("x")}}
		service := serve.New(newState(), fake, discard{}, discard{})
		defer service.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		service.Serve(ctx, serve.Request{ID: "r", Host: "h", Path: "/again/", Key: "k"}, &caller{})
		if took := time.Since(start); took > 150*time.Millisecond || len(fake.calls) != 1 {
			t.Errorf("ended after %s and %d calls, want 1 call and at most 150 ms", took, len(fake.calls))
		}
	})
}

// TestDrain checks that a draining gateway answers the requests in flight and
// refuses new ones.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := answer("x")
		slow.headDelay = 300 * time.Millisecond
		fake := &scriptedTargets{script: []step{slow}}
		service := serve.New(newState(), fake, discard{}, discard{})
		defer service.Close()
		first := make(chan serve.Outcome, 1)
		go func() {
			first <- service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/once/", Key: "k"}, &caller{})
		}()
		synctest.Wait()
		service.Retire("test")
		synctest.Wait()
		if service.Ready() {
			t.Error("Ready() = true for a retiring gateway")
		}
		drained := make(chan error, 1)
		go func() { drained <- service.Drain(t.Context()) }()
		synctest.Wait()
		late := service.Serve(t.Context(), serve.Request{ID: "r2", Host: "h", Path: "/once/", Key: "k"}, &caller{})
		if late.Refusal == nil || late.Refusal.Kind != refusal.Closing || late.Refusal.Ran != refusal.No {
			t.Errorf("a request during the drain returned %v, want a refusal of kind closing with ran=no", late.Refusal)
		}
		if o, err := <-first, <-drained; o.Refusal != nil || err != nil {
			t.Errorf("the request in flight returned %v and Drain returned %v, want no refusal and no error", o.Refusal, err)
		}
	})
}
