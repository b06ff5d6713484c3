package serve

import (
	"context"
	"errors"
	"io"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/events"
	"hornbeamtray/core/ledger"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/retry"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/route"
)

const (
	maxHeld     = 64 << 10               // bytes of an answer in one piece that are held until it is whole
	readSize    = 16 << 10               // bytes read from a target at once
	maxTries    = 4                      // attempts of one request, those that ran nowhere included
	leastLeft   = 20 * time.Millisecond  // with less time left another attempt can't succeed
	firstSpare  = 100 * time.Millisecond // of a caller's patience with a stream that is left when its first event is given up
	eventSpare  = 300 * time.Millisecond // the same for further events: another target goes on
	patiencePer = 2                      // an attempt that may be repeated gets this part of the time left
	holdSpare   = 600 * time.Millisecond // of a caller's patience that is left when waiting for room ends
	holdPart    = 4                      // of the time left that a request waits for room at most
	holdPace    = 100 * time.Millisecond // between looks for room where nothing tells of any
)

// Request is one request of a caller.
type Request struct {
	Message
	ID          string
	Host        string
	Path        string
	Key         string
	Timeout     time.Duration // Allowed is how long the caller waits; 0 for no bound.
	LastEventID string        // After is the number of the last event that the caller has.
}

// Outcome is what a request came to. Without a refusal the answer is whole.
type Outcome struct {
	Refusal  *refusal.Refusal
	HeadSent bool // Begun is true where the caller has the answer's head.
}

// Serve answers one request through out, or returns why it could not.
func (s *Service) Serve(ctx context.Context, r Request, out Writer) Outcome {
	arrived := s.clock()
	a, refused := s.admit(ctx, dispatch.Request{Host: r.Host, Path: r.Path, Key: r.Key, Timeout: r.Timeout})
	if refused != nil {
		s.journal.Event("refused", "request", r.ID, "kind", refused.Kind, "ran", refused.Ran, "host", r.Host, "path", r.Path,
			"version", s.State().Book.Version, "proof", s.clock().Sub(s.State().SyncedAt))
		return Outcome{Refusal: refused}
	}
	defer s.release()
	ctx, cancel := context.WithTimeout(ctx, a.Deadline.Sub(s.clock()))
	defer cancel()
	defer context.AfterFunc(s.aborting, cancel)()
	d := &delivery{service: s, admission: a, request: r, out: out, ran: refusal.No, after: r.LastEventID, arrived: arrived}
	outcome := d.run(ctx)
	d.note(outcome, s.clock().Sub(arrived))
	return outcome
}

// delivery is one request on its way to a whole answer.
type delivery struct {
	service   *Service
	admission dispatch.Admission
	request   Request
	out       Writer

	target  roster.Target
	tried   []string
	runs    int         // attempts that may have run
	ran     refusal.Ran // the most cautious word on all attempts
	begun   bool
	after   string   // number of the last event that the caller has
	failure *failure // the latest answer of a target that failed

	arrived time.Time
	first   time.Duration // from the arrival to the answer's first byte
	latest  time.Time     // when the caller was last sent a part
	gap     time.Duration // the longest pause between two parts
}

// failure is a target's own answer that the request failed.
type failure struct {
	head Head
	body []byte
}

func (d *delivery) run(ctx context.Context) Outcome {
	for {
		c := d.bind(ctx)
		if c.refused != nil {
			return d.give(*c.refused)
		}
		d.target = c.target
		d.tried = append(d.tried, c.target.ID)
		end, whole := d.attempt(ctx)
		fault := !whole && (end.End == retry.Broken || end.End == retry.NotSent || end.End == retry.Stopped) && ctx.Err() == nil
		d.service.attempted(d.target.ID, fault)
		if whole {
			return Outcome{HeadSent: true}
		}
		next := d.decide(end)
		d.ran = retry.MoreCautious(d.ran, next.Refusal.Ran)
		if ctx.Err() != nil {
			return d.give(d.ended(ctx))
		}
		if next.Step != retry.Elsewhere || !d.again(ctx, end) {
			return d.give(next.Refusal)
		}
	}
}

// bind chooses a target. A request waits for room where there is none, for as
// long as its caller is sure to wait, too. A group that is lost is away for
// seconds: its caller is told at once when to come back.
func (d *delivery) bind(ctx context.Context) choice {
	hold := d.arrived.Add(min(d.admission.Route.EventTimeout()-holdSpare, d.admission.Deadline.Sub(d.arrived)/holdPart))
	for {
		freed := d.service.freed.Wait()
		c := d.service.choose(ctx, d.request.Key, d.admission, d.tried)
		now := d.service.clock()
		if c.refused == nil || c.refused.Kind != refusal.Busy || d.begun || !now.Before(hold) || d.service.State().GroupLost(d.admission.Service) {
			return c
		}
		if now.Sub(d.arrived) > d.admission.Route.LatencyGoal {
			d.admission = d.admission.WithLate()
		}
		timer := time.NewTimer(min(holdPace, hold.Sub(now)))
		select {
		case <-freed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// decide returns what follows an attempt. No target keeps a record of what it
// ran, so a question to it is never answered.
func (d *delivery) decide(end retry.Attempt) retry.Next {
	next := retry.Decide(end)
	if next.Step == retry.Resolve {
		return retry.AfterResolve(end, ledger.Absent, next.Refusal)
	}
	return next
}

// again reports whether another attempt may follow. One that no target saw is
// free of the retry budget.
func (d *delivery) again(ctx context.Context, end retry.Attempt) bool {
	if len(d.tried) >= maxTries || d.runs >= max(1, d.admission.Route.Attempts) {
		return false
	}
	if d.admission.Deadline.Sub(d.service.clock()) < leastLeft {
		return false
	}
	return end.End == retry.NotSent || d.service.mayRetry(ctx, d.admission.Service)
}

// ended returns the refusal of a request whose time is over or whose caller left.
func (d *delivery) ended(ctx context.Context) refusal.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.Deadline, d.ran, "the request's deadline passed; allow it more time")
	}
	return refusal.New(refusal.Cut, d.ran, "the caller left, or this instance is stopping")
}

// give ends the request with what the target answered last, or with a refusal.
func (d *delivery) give(r refusal.Refusal) Outcome {
	if d.failure != nil && !d.begun {
		if d.out.Begin(d.failure.head) == nil && d.out.Write(d.failure.body) == nil {
			return Outcome{HeadSent: true}
		}
	}
	r = r.WithRan(retry.MoreCautious(d.ran, r.Ran))
	return Outcome{Refusal: &r, HeadSent: d.begun}
}

// attempt sends the request once and delivers the answer. It reports how the
// attempt ended, and whether the caller has the whole answer.
func (d *delivery) attempt(ctx context.Context) (retry.Attempt, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	left := d.admission.Deadline.Sub(d.service.clock())
	dog := newWatchdog(cancel)
	defer dog.rest()
	if patience := d.patience(left); patience > 0 {
		dog.expect(patience)
	}
	reply, err := d.service.targets.Send(ctx, Call{
		Message: d.request.Message, ID: d.request.ID, Address: d.target.Address, Instance: d.target.ID,
		Host: d.request.Host, Account: d.admission.Account, SendPriority: d.admission.Route.Kind == route.Stream, Priority: d.admission.Priority,
		Timeout: left, LastEventID: d.after,
	})
	if errors.Is(err, ErrNotSent) {
		d.failed("not sent", err)
		return d.end(retry.NotSent), false
	}
	d.runs++
	if err != nil {
		d.failed("broken", err)
		return d.end(retry.Broken), false
	}
	defer reply.Close()
	d.service.sign(d.target.ID)
	head := reply.Head()
	switch {
	case head.NotRun:
		d.runs--
		d.failed("not run", nil, "status", head.Status, "group", head.GroupLost)
		if head.GroupLost {
			d.service.lost(d.admission.Service)
		}
		end := d.end(retry.Refused)
		end.Refusal = refusal.New(refusal.Busy, refusal.No, "the target did not run the request; try again").WithRetry(d.admission.RetryAfter(d.service.clock()))
		return end, false
	case !head.Signed: // its body is nobody's
		d.failed("unsigned answer", nil, "status", head.Status)
		return d.end(retry.Broken), false
	case head.Status < 300 && d.admission.Route.Kind == route.Stream:
		d.service.works(d.admission.Service)
		return d.stream(reply, dog)
	default:
		return d.piece(reply)
	}
}

// patience returns how long an attempt may stay without a sign of its answer; 0
// stands for the request's own deadline.
func (d *delivery) patience(left time.Duration) time.Duration {
	if d.admission.Route.Kind == route.Stream {
		return d.admission.Route.EventTimeout() - firstSpare
	}
	if !d.admission.Route.Repeatable() || d.runs+1 >= d.admission.Route.Attempts {
		return 0
	}
	return left / patiencePer
}

// end returns an attempt that ended so.
func (d *delivery) end(end retry.End) retry.Attempt {
	return retry.Attempt{
		End: end, Idempotent: d.admission.Route.Repeatable(), Resumes: d.admission.Route.Kind == route.Stream,
		Delivered: d.begun, Sends: 1,
	}
}

// piece delivers an answer that comes in one piece. It is held until it is
// whole, so that one that breaks off can be fetched elsewhere.
func (d *delivery) piece(reply Reply) (retry.Attempt, bool) {
	head := reply.Head()
	held := make([]byte, 0, min(maxHeld, max(512, head.Length+1)))
	var err error
	for err == nil && len(held) < maxHeld {
		var n int
		if len(held) == cap(held) {
			held = append(held, 0)[:len(held)]
		}
		n, err = reply.Read(held[len(held):cap(held)])
		held = held[:len(held)+n]
	}
	switch {
	case err == io.EOF && head.Status >= 500:
		d.failure = &failure{head: sized(head, len(held)), body: held}
		d.failed("target failed", nil, "status", head.Status)
		end := d.end(retry.Stopped)
		end.Refusal = refusal.New(refusal.Failed, refusal.Yes, "the target failed while it ran the request")
		return end, false
	case err == io.EOF:
		d.failure = nil
		d.timed()
		return retry.Attempt{}, d.out.Begin(sized(head, len(held))) == nil && d.out.Write(held) == nil
	case err != nil:
		d.failed("broken", err)
		return d.end(retry.Broken), false
	}
	return d.rest(reply, held)
}

// rest delivers an answer that is too large to be held.
func (d *delivery) rest(reply Reply, held []byte) (retry.Attempt, bool) {
	if d.out.Begin(reply.Head()) != nil || d.out.Write(held) != nil {
		return d.end(retry.Abandoned), false
	}
	d.begun = true
	buffer := make([]byte, readSize)
	for {
		n, err := reply.Read(buffer)
		if n > 0 && d.out.Write(buffer[:n]) != nil {
			return d.end(retry.Abandoned), false
		}
		if err == io.EOF {
			return retry.Attempt{}, true
		}
		if err != nil {
			d.failed("broken", err)
			return d.end(retry.Broken), false
		}
	}
}

// stream delivers whole events as they come.
func (d *delivery) stream(reply Reply, dog *watchdog) (retry.Attempt, bool) {
	var splitter events.Splitter
	buffer := make([]byte, readSize)
	for {
		dog.expect(d.eventWait())
		n, err := reply.Read(buffer)
		dog.rest()
		if n > 0 {
			d.service.sign(d.target.ID)
		}
		if whole := splitter.Split(buffer[:n]); len(whole) > 0 {
			if !d.deliver(reply.Head(), whole, splitter.LastID()) {
				return d.end(retry.Abandoned), false
			}
		}
		if err == io.EOF && !splitter.Partial() {
			return retry.Attempt{}, d.begun || d.deliver(reply.Head(), nil, d.after)
		}
		if err != nil {
			d.failed("stream broken", err, "after", d.after)
			return d.end(retry.Broken), false
		}
	}
}

func (d *delivery) eventWait() time.Duration {
	if !d.begun {
		return d.admission.Route.EventTimeout() - firstSpare
	}
	return d.admission.Route.EventTimeout() - eventSpare
}

// deliver hands events to the caller, after the head of the first run.
func (d *delivery) deliver(head Head, whole []byte, last string) bool {
	if !d.begun {
		head.Length = -1
		if d.out.Begin(head) != nil {
			return false
		}
		d.begun = true
	}
	d.timed()
	if len(whole) > 0 && d.out.Write(whole) != nil {
		return false
	}
	d.after = last
	return true
}

// timed notes when a part goes to the caller.
func (d *delivery) timed() {
	now := d.service.clock()
	if d.latest.IsZero() {
		d.first = now.Sub(d.arrived)
		d.service.meter.Observe("first_part_time", d.first)
	} else {
		d.gap = max(d.gap, now.Sub(d.latest))
	}
	d.latest = now
}

func sized(head Head, length int) Head {
	head.Length = int64(length)
	return head
}

// failed logs an attempt that brought no answer.
func (d *delivery) failed(what string, err error, pairs ...any) {
	d.service.meter.Inc("attempts", what)
	pairs = append([]any{"request", d.request.ID, "target", d.target.ID, "how", what, "revision", d.target.Revision}, pairs...)
	if err != nil {
		pairs = append(pairs, "error", err.Error())
	}
	d.service.journal.Event("attempt failed", pairs...)
}

// note logs what the request came to.
func (d *delivery) note(o Outcome, took time.Duration) {
	kind, ran := "answered", refusal.Yes
	if o.Refusal != nil {
		kind, ran = string(o.Refusal.Kind), o.Refusal.Ran
	}
	d.service.meter.Inc("requests", kind)
	d.service.meter.Observe("request_time", took)
	d.service.journal.Event("request", "request", d.request.ID, "route", d.admission.Route.Name, "account", d.admission.Account,
		"service", d.admission.Service, "target", d.target.ID, "attempts", len(d.tried), "outcome", kind, "ran", ran,
		"begun", o.HeadSent, "first", d.first, "gap", d.gap, "took", took, "version", d.admission.Version)
	if d.gap > 0 {
		d.service.meter.Observe("longest_gap", d.gap)
	}
}
