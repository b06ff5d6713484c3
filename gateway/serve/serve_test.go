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

// step is what a fake target does with one call.
type step struct {
	err    error
	head   serve.Head
	parts  []string      // of the body
	cut    bool          // the body breaks off after the parts
	silent time.Duration // before the answer's head
	pause  time.Duration // before each part
}

func ok(parts ...string) step {
	return step{head: serve.Head{Status: 200, Signed: true, Length: -1}, parts: parts}
}

func status(code int) step { return step{head: serve.Head{Status: code, Signed: true}} }

func notRun(group bool) step {
	return step{head: serve.Head{Status: 503, NotRun: true, GroupLost: group}}
}

// targets answers calls by a script.
type targets struct {
	script []step
	calls  []serve.Call
	before func() // called at each call
}

func (t *targets) Send(ctx context.Context, call serve.Call) (serve.Reply, error) {
	t.calls = append(t.calls, call)
	if t.before != nil {
		t.before()
	}
	if len(t.script) == 0 {
		return nil, errors.New("no more steps")
	}
	next := t.script[0]
	t.script = t.script[1:]
	if !wait(ctx, next.silent) {
		return nil, ctx.Err()
	}
	if next.err != nil {
		return nil, next.err
	}
	return &reply{ctx: ctx, step: next}, nil
}

func wait(ctx context.Context, d time.Duration) bool {
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
	ctx  context.Context
	step step
}

func (r *reply) Head() serve.Head { return r.step.head }
func (r *reply) Close()           {}
func (r *reply) Read(p []byte) (int, error) {
	if len(r.step.parts) == 0 {
		if r.step.cut {
			return 0, io.ErrUnexpectedEOF
		}
		return 0, io.EOF
	}
	if !wait(r.ctx, r.step.pause) {
		return 0, r.ctx.Err()
	}
	n := copy(p, r.step.parts[0])
	r.step.parts = r.step.parts[1:]
	return n, nil
}

// out keeps what a caller got.
type out struct {
	heads []serve.Head
	body  strings.Builder
	gone  bool
}

func (o *out) Begin(head serve.Head) error {
	o.heads = append(o.heads, head)
	return nil
}

func (o *out) Write(p []byte) error {
	if o.gone {
		return errors.New("the caller is gone")
	}
	o.body.Write(p)
	return nil
}

type quiet struct{}

func (quiet) Inc(string, string)            {}
func (quiet) Gauge(string, float64)         {}
func (quiet) Observe(string, time.Duration) {}
func (quiet) Event(string, ...any)          {}
func (quiet) Changes(_, _ trail.Trail)      {}

func routes() route.Book {
	shares := []route.Share{{Service: "s", Weight: 1}}
	return route.NewBook(5,
		route.WithRoutes(
			route.Route{Name: "once", Host: "h", Prefix: "/once/", Kind: route.AtMostOnce, Timeout: 600 * time.Millisecond, Attempts: 2, Shares: shares},
			route.Route{Name: "again", Host: "h", Prefix: "/again/", Kind: route.Idempotent, Timeout: 600 * time.Millisecond, Attempts: 2, Shares: shares},
			route.Route{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Stream, Resumable: true, Timeout: 8 * time.Second, Attempts: 2, Shares: shares},
			route.Route{Name: "single", Host: "h", Prefix: "/single/", Kind: route.Stream, Timeout: 8 * time.Second, Attempts: 2, Shares: shares},
			route.Route{Name: "slow", Host: "h", Prefix: "/slow/", Kind: route.Stream, Resumable: true, Timeout: 30 * time.Second, LatencyGoal: time.Second, Attempts: 2, Shares: shares},
			route.Route{Name: "pausing", Host: "h", Prefix: "/pausing/", Kind: route.Stream, Resumable: true, Timeout: 30 * time.Second, GapGoal: 500 * time.Millisecond, Attempts: 2, Shares: shares},
		),
		route.WithServices(route.Service{Name: "s"}),
		route.WithAccount(route.Account{Name: "acme"}, "k"),
	)
}

func newState() dispatch.State {
	var list []roster.Target
	for i := range 4 {
		list = append(list, roster.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Domain: "d", Slots: 4, Revision: uint64(i + 1)})
	}
	return dispatch.New("g", "d", dispatch.Bounds{MaxStaleness: time.Minute}).
		WithUpdate(dispatch.Update{Books: []route.Book{routes()}, Targets: list, ReadAt: time.Now()}, time.Now())
}

func TestServe(t *testing.T) {
	broken := step{err: errors.New("connection reset")}
	unsent := step{err: fmt.Errorf("%w: refused", serve.ErrNotSent)}
	unsigned := step{head: serve.Head{Status: 200}, parts: []string{"x"}}
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }
	cutStream := step{head: serve.Head{Status: 200, Signed: true, Length: -1}, parts: []string{event(1), event(2), "id: 3\nda"}, cut: true}
	late, pausing := ok(event(1)), ok(event(1), event(2))
	late.silent, pausing.pause = 3*time.Second, 3*time.Second
	tests := []struct {
		name   string
		path   string
		script []step
		status int          // of the answer; 0 for a refusal
		body   string       // wanted
		kind   refusal.Kind // of the refusal
		ran    refusal.Ran
		calls  int
	}{
		{"answered", "/once/", []step{ok("hello")}, 200, "hello", "", "", 1},
		{"once, broken", "/once/", []step{broken, ok("x")}, 0, "", refusal.Cut, refusal.Unknown, 1},
		{"once, not sent", "/once/", []step{unsent, ok("x")}, 200, "x", "", "", 2},
		{"once, not run", "/once/", []step{notRun(false), ok("x")}, 200, "x", "", "", 2},
		{"once, not run and then broken", "/once/", []step{notRun(false), broken, ok("x")}, 0, "", refusal.Cut, refusal.Unknown, 2},
		{"once, not run anywhere", "/once/", []step{notRun(false), notRun(false), notRun(false), notRun(false)}, 0, "", refusal.Busy, refusal.No, 4},
		{"once, answer cut", "/once/", []step{{head: serve.Head{Status: 200, Signed: true}, parts: []string{"he"}, cut: true}}, 0, "", refusal.Cut, refusal.Unknown, 1},
		{"once, failed", "/once/", []step{status(500), ok("x")}, 500, "", "", "", 1},
		{"once, unsigned", "/once/", []step{unsigned, ok("x")}, 0, "", refusal.Cut, refusal.Unknown, 1},
		{"again, broken", "/again/", []step{broken, ok("x")}, 200, "x", "", "", 2},
		{"again, broken too often", "/again/", []step{broken, broken, ok("x")}, 0, "", refusal.Cut, refusal.Unknown, 2},
		{"again, failed", "/again/", []step{status(500), ok("x")}, 200, "x", "", "", 2},
		{"again, failed twice", "/again/", []step{status(500), status(502), ok("x")}, 502, "", "", "", 2},
		{"again, broken and then not run", "/again/", []step{broken, notRun(false), notRun(false), notRun(false)}, 0, "", refusal.Busy, refusal.Unknown, 4},
		{"again, unsigned", "/again/", []step{unsigned, ok("x")}, 200, "x", "", "", 2},
		{"again, client error", "/again/", []step{status(404), ok("x")}, 404, "", "", "", 1},
		{"again, silent", "/again/", []step{{silent: time.Hour}, ok("x")}, 200, "x", "", "", 2},
		{"once, silent", "/once/", []step{{silent: time.Hour}, ok("x")}, 0, "", refusal.Deadline, refusal.Unknown, 1},
		{"group lost", "/stream/", []step{notRun(true), ok(event(1))}, 0, "", refusal.Busy, refusal.No, 1},
		{"stream", "/stream/", []step{ok(event(1), event(2)+event(3))}, 200, event(1) + event(2) + event(3), "", "", 1},
		{"stream in odd pieces", "/stream/", []step{ok("id: 1\nda", "ta: x\n", "\n"+event(2))}, 200, event(1) + event(2), "", "", 1},
		{"stream resumed", "/stream/", []step{cutStream, ok(event(3))}, 200, event(1) + event(2) + event(3), "", "", 2},
		{"stream resumed after silence", "/stream/", []step{{head: serve.Head{Status: 200, Signed: true, Length: -1}, parts: []string{event(1)}, cut: true}, ok(event(2))}, 200, event(1) + event(2), "", "", 2},
		{"stream cut twice", "/stream/", []step{cutStream, {head: serve.Head{Status: 200, Signed: true}, parts: []string{event(3)}, cut: true}}, 200, event(1) + event(2) + event(3), refusal.Cut, refusal.Unknown, 2},
		{"stream that can't be resumed", "/single/", []step{cutStream, ok(event(3))}, 200, event(1) + event(2), refusal.Cut, refusal.Unknown, 1},
		{"stream without events", "/stream/", []step{ok()}, 200, "", "", "", 1},
		{"stream, silent for long", "/stream/", []step{{silent: time.Hour}, ok(event(1))}, 200, event(1), "", "", 2},
		{"stream, as silent as its goal allows", "/slow/", []step{late, ok("x")}, 200, event(1), "", "", 1},
		{"stream, pauses as its longest pause allows", "/pausing/", []step{pausing, ok("x")}, 200, event(1) + event(2), "", "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := &targets{script: tt.script}
				service := serve.New(newState(), fake, quiet{}, quiet{})
				defer service.Close()
				var o out
				outcome := service.Serve(t.Context(), serve.Request{
					Message: serve.Message{Method: "POST", Target: tt.path}, ID: "r", Host: "h", Path: tt.path, Key: "k",
				}, &o)
				checkOutcome(t, outcome, &o, tt.status, tt.kind, tt.ran)
				if o.body.String() != tt.body || len(fake.calls) != tt.calls {
					t.Errorf("body is %q after %d calls, want %q after %d", o.body.String(), len(fake.calls), tt.body, tt.calls)
				}
				checkCalls(t, fake.calls)
				synctest.Wait()
				if s := service.State(); s.InFlight != 0 || len(s.Loads()) != 0 {
					t.Errorf("%d requests stay in flight, at targets %v", s.InFlight, s.Loads())
				}
			})
		})
	}
}

func checkOutcome(t *testing.T, got serve.Outcome, o *out, status int, kind refusal.Kind, ran refusal.Ran) {
	t.Helper()
	if (got.Refusal != nil) != (kind != "") {
		t.Fatalf("refusal is %v, want kind %q", got.Refusal, kind)
	}
	if kind != "" && (got.Refusal.Kind != kind || got.Refusal.Ran != ran) {
		t.Errorf("refusal is %v, want %s with ran=%s", got.Refusal, kind, ran)
	}
	if (status != 0) != (len(o.heads) == 1) || len(o.heads) > 1 {
		t.Fatalf("%d heads were written, want status %d", len(o.heads), status)
	}
	if status != 0 && o.heads[0].Status != status {
		t.Errorf("status is %d, want %d", o.heads[0].Status, status)
	}
}

// checkCalls checks that no target is asked twice and no call gets more time
// than is left.
func checkCalls(t *testing.T, calls []serve.Call) {
	t.Helper()
	var asked []string
	for i, c := range calls {
		if slices.Contains(asked, c.Instance) {
			t.Errorf("target %s was asked twice", c.Instance)
		}
		asked = append(asked, c.Instance)
		if i > 0 && c.Timeout > calls[i-1].Timeout || c.ID != "r" || c.Account != "acme" {
			t.Errorf("call %d is %+v", i, c)
		}
	}
}

func TestResumeAfterLastWholeEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &targets{script: []step{
			{head: serve.Head{Status: 200, Signed: true}, parts: []string{"id: 8\n\nid: 9\n\nid: 10"}, cut: true}, ok("id: 10\n\n"),
		}}
		service := serve.New(newState(), fake, quiet{}, quiet{})
		defer service.Close()
		outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k", LastEventID: "7"}, &out{})
		if outcome.Refusal != nil || fake.calls[0].LastEventID != "7" || fake.calls[1].LastEventID != "9" {
			t.Errorf("calls are %+v, %v", fake.calls, outcome.Refusal)
		}
	})
}

// TestSilentStream gives up a stream whose target sends nothing, before its
// caller does, and goes on elsewhere.
func TestSilentStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := ok("id: 1\n\n", "id: 2\n\n")
		slow.pause = time.Hour
		fake := &targets{script: []step{slow, ok("id: 1\n\n")}}
		service := serve.New(newState(), fake, quiet{}, quiet{})
		defer service.Close()
		start := time.Now()
		outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/stream/", Key: "k"}, &out{})
		if took := time.Since(start); outcome.Refusal != nil || took > 2*time.Second {
			t.Errorf("answered after %s, %v, want within the 2 s that callers wait", took, outcome.Refusal)
		}
	})
}

// TestKeyTakenAway takes the key away between two attempts.
func TestKeyTakenAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &targets{script: []step{notRun(false), ok("x")}}
		service := serve.New(newState(), fake, quiet{}, quiet{})
		defer service.Close()
		fake.before = func() {
			service.Change(func(s dispatch.State, now time.Time) dispatch.State {
				return s.WithBook(route.NewBook(6, route.WithAccount(route.Account{Name: "acme"})), now)
			})
		}
		outcome := service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/once/", Key: "k"}, &out{})
		if outcome.Refusal == nil || outcome.Refusal.Ran != refusal.No || len(fake.calls) != 1 {
			t.Errorf("refusal is %v after %d calls, want ran=no after 1", outcome.Refusal, len(fake.calls))
		}
	})
}

// TestCallerLeaves stops at once, and sends nothing more, when the caller leaves.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &targets{script: []step{{silent: time.Hour}, ok("x")}}
		service := serve.New(newState(), fake, quiet{}, quiet{})
		defer service.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		service.Serve(ctx, serve.Request{ID: "r", Host: "h", Path: "/again/", Key: "k"}, &out{})
		if took := time.Since(start); took > 150*time.Millisecond || len(fake.calls) != 1 {
			t.Errorf("ended after %s and %d calls, want 100 ms and 1", took, len(fake.calls))
		}
	})
}

// TestDrain answers what was admitted and refuses what comes after.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := ok("x")
		slow.silent = 300 * time.Millisecond
		fake := &targets{script: []step{slow}}
		service := serve.New(newState(), fake, quiet{}, quiet{})
		defer service.Close()
		first := make(chan serve.Outcome, 1)
		go func() {
			first <- service.Serve(t.Context(), serve.Request{ID: "r", Host: "h", Path: "/once/", Key: "k"}, &out{})
		}()
		synctest.Wait()
		service.Retire("test")
		synctest.Wait()
		if service.Ready() {
			t.Error("a retiring gateway is ready")
		}
		drained := make(chan error, 1)
		go func() { drained <- service.Drain(t.Context()) }()
		synctest.Wait()
		late := service.Serve(t.Context(), serve.Request{ID: "r2", Host: "h", Path: "/once/", Key: "k"}, &out{})
		if late.Refusal == nil || late.Refusal.Kind != refusal.Closing || late.Refusal.Ran != refusal.No {
			t.Errorf("a late request came to %v, want a refusal with ran=no", late.Refusal)
		}
		if o, err := <-first, <-drained; o.Refusal != nil || err != nil {
			t.Errorf("the admitted request came to %v, the drain to %v", o.Refusal, err)
		}
	})
}
