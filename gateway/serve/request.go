package serve

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/ledger"
	"hornbeamtray/core/quarantine"
	"hornbeamtray/core/queue"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/retry"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/route"
)

const (
	maxAttempts           = 4                      // attempts per request, including those that did not run
	minAttemptTime        = 20 * time.Millisecond  // with less time left, another attempt can't succeed
	firstEventReserve     = 100 * time.Millisecond // an attempt without a first event is canceled this long before the event timeout, so that another target can answer
	attemptTimeoutDivisor = 2                      // an attempt that may be repeated gets 1/attemptTimeoutDivisor of the time left, and the next one the rest
	waitPollInterval      = 100 * time.Millisecond // between checks for capacity, since not all freed capacity raises capacityFreed
)

// Request is a caller's request.
type Request struct {
	Message
	ID          string
	Host        string
	Path        string
	Key         string
	Timeout     time.Duration // Timeout is how long the caller waits; 0 means no limit.
	LastEventID string        // LastEventID is the ID of the last event that the caller received; empty for none.
	Parts       []string      // Parts are the IDs of the parts of the prompt that other requests may share, in order.
	OwnPart     string        // OwnPart is the ID of the part of the prompt that belongs to the request or its session; empty for none.
}

// suspects returns the parts by which the request is blamed if targets crash: the shared
// parts of its prompt, and what it or its session holds alone, which is all of it if its
// prompt names no such part.
func (r Request) suspects() []string {
	own := r.OwnPart
	if own == "" {
		hash := xxhash.New()
		for _, text := range []string{r.Method, r.Host, r.Target} {
			_, _ = hash.WriteString(text + "\n")
		}
		_, _ = hash.Write(r.Body)
		own = strconv.FormatUint(hash.Sum64(), 16)
	}
	return append(slices.Clone(r.Parts), quarantine.Own(own))
}

// Outcome is the result of a request. If Refusal is nil, the caller received a
// complete answer.
type Outcome struct {
	Refusal  *refusal.Refusal
	HeadSent bool // HeadSent reports whether the head of an answer was written to the caller.
}

// Serve handles a request and writes the answer to out. If there is no complete
// answer, the outcome has a refusal, which Serve does not write.
func (s *Service) Serve(ctx context.Context, r Request, out Writer) Outcome {
	arrived := s.clock()
	admission, refused := s.admit(ctx, dispatch.Request{Host: r.Host, Path: r.Path, Key: r.Key, Timeout: r.Timeout, Parts: r.suspects()})
	if refused != nil {
		s.journal.Event("refused", "request", r.ID, "kind", refused.Kind, "ran", refused.Ran, "host", r.Host, "path", r.Path,
			"version", s.State().Book.Version, "proof", s.clock().Sub(s.State().SyncedAt))
		return Outcome{Refusal: refused}
	}
	defer s.recordDone()
	ctx, cancel := context.WithTimeout(ctx, admission.Deadline.Sub(s.clock()))
	defer cancel()
	defer context.AfterFunc(s.abortContext, cancel)()
	d := &delivery{service: s, admission: admission, request: r, out: out, ran: refusal.No, lastEventID: r.LastEventID, arrived: arrived}
	outcome := d.run(ctx)
	d.logOutcome(outcome, s.clock().Sub(arrived))
	return outcome
}

// delivery is the state of an admitted request until it ends.
type delivery struct {
	service   *Service
	admission dispatch.Admission
	request   Request
	out       Writer

	target       roster.Target
	chosenAt     time.Time // when the target was chosen and the request counted there
	triedTargets []string
	possibleRuns int         // attempts that may have run
	ran          refusal.Ran // whether the request ran: the most cautious statement of all attempts
	headSent     bool
	streamBegun  bool          // the caller has the head of a stream, which another run can continue
	headReceived bool          // of the current attempt's answer
	events       int           // complete events of the current attempt's answer
	bodyReceived bool          // a part of the current attempt's answer that is not an event stream
	closed       bool          // the target closed the connection of the current attempt
	late         bool          // the current attempt was not written since it was too late
	sending      Sending       // of the current attempt
	sentAfter    time.Duration // from the arrival to the begin of the current attempt
	writtenAfter time.Duration // from the arrival until the current attempt was written or that failed; 0 if it was not begun
	status       int           // of the answer that was passed on; 0 for none
	lastEventID  string        // ID of the last event that the caller received
	failure      *failure      // the latest error answer of a target; nil for none

	arrived       time.Time
	firstPartTime time.Duration // from the arrival to the first part; 0 for none
	lastPartAt    time.Time     // time of the last recordPart
	longestGap    time.Duration // between two parts
}

// failure is a target's complete answer with a status of 500 or above.
type failure struct {
	head Head
	body []byte
}

// run makes attempts until the request ends.
func (d *delivery) run(ctx context.Context) Outcome {
	for {
		chosen := d.chooseTarget(ctx)
		if chosen.refused != nil {
			return d.finish(*chosen.refused)
		}
		d.target, d.chosenAt = chosen.target, chosen.at
		d.triedTargets = append(d.triedTargets, chosen.target.ID)
		resumed := d.headSent
		attempt, complete := d.attempt(ctx)
		if d.late { // which says nothing of the target
			d.triedTargets = d.triedTargets[:len(d.triedTargets)-1]
		}
		failed := !complete && !d.late && (attempt.End == retry.Broken || attempt.End == retry.NotSent || attempt.End == retry.Stopped) && ctx.Err() == nil
		d.service.recordAttempt(d.target.ID, failed)
		if complete && !resumed {
			d.service.recordAnswer(d.admission.Service, d.sinceSend())
		}
		if d.closed {
			d.service.recordCrash(d.target, d.admission.Parts, d.progress())
		}
		if complete {
			return Outcome{HeadSent: true}
		}
		next := d.decide(attempt)
		d.ran = retry.MoreCautious(d.ran, next.Refusal.Ran)
		if ctx.Err() != nil {
			return d.finish(d.refusalForContext(ctx))
		}
		if next.Step != retry.Elsewhere || !d.canRetry(ctx, attempt) {
			if attempt.End == retry.Refused {
				next.Refusal = d.service.busyRefusal(ctx, d.admission)
			}
			return d.finish(next.Refusal)
		}
	}
}

// chooseTarget chooses a target. If none has room, it waits while the request is expected
// to be answered in the time that its caller has.
func (d *delivery) chooseTarget(ctx context.Context) choice {
	defer func() {
		d.service.leaveQueue(d.admission)
		d.admission.Place = queue.Place{}
	}()
	for d.admission = d.admission.WithPermit(""); ctx.Err() == nil; {
		capacityFreed := d.service.capacityFreed.Wait()
		c := d.service.choose(ctx, d.request, d.admission, d.triedTargets, d.ran)
		if c.ask != nil {
			if d.admission = d.admission.WithPermit(d.service.takePermit(ctx, d.admission, *c.ask)); d.admission.Permit != "" {
				d.admission.Place = queue.Place{}
			}
			continue
		}
		if c.judged != nil {
			d.admission = c.judged.WithPermit("")
		}
		if c.judged == nil || c.refused != nil {
			return c
		}
		d.awaitCapacity(ctx, capacityFreed)
	}
	r := d.refusalForContext(ctx)
	return choice{refused: &r}
}

// awaitCapacity waits until it is the turn of a waiting request to look for a target again: when
// capacity was freed and few others precede it, or at the next check.
func (d *delivery) awaitCapacity(ctx context.Context, capacityFreed <-chan struct{}) {
	timer := time.NewTimer(min(waitPollInterval, d.admission.WaitUntil.Sub(d.service.clock())))
	defer timer.Stop()
	for {
		select {
		case <-capacityFreed:
			if d.service.State().Due(d.admission) {
				return
			}
			capacityFreed = d.service.capacityFreed.Wait()
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// sinceSend returns how long ago the current attempt began.
func (d *delivery) sinceSend() time.Duration { return d.service.clock().Sub(d.arrived) - d.sentAfter }

// decide returns the next step after an attempt. A Resolve step would ask a target's
// agent whether the request ran. The gateway calls targets without an agent, so it
// continues with ledger.Absent, as if an agent had no record of the request.
func (d *delivery) decide(attempt retry.Attempt) retry.Next {
	next := retry.Decide(attempt)
	if next.Step == retry.Resolve {
		return retry.AfterResolve(attempt, ledger.Absent, next.Refusal)
	}
	return next
}

// canRetry reports whether another attempt may follow. After an attempt that was
// not sent, it takes nothing from the retry budget.
func (d *delivery) canRetry(ctx context.Context, attempt retry.Attempt) bool {
	return d.mayRetry() && (attempt.End == retry.NotSent || d.service.takeRetry(ctx, d.admission.Service))
}

// mayRetry reports whether another attempt may follow as far as the number of attempts and
// the time left are concerned.
func (d *delivery) mayRetry() bool {
	return len(d.triedTargets) < maxAttempts && d.possibleRuns < max(1, d.admission.Route.Attempts) &&
		d.admission.Deadline.Sub(d.service.clock()) >= minAttemptTime
}

// refusalForContext returns the refusal of a request whose context is done: its
// deadline passed, its caller disconnected, or the gateway aborted it.
func (d *delivery) refusalForContext(ctx context.Context) refusal.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.Deadline, d.ran, "the request's deadline passed; allow it more time")
	}
	return refusal.New(refusal.Cut, d.ran, "the caller left, or this instance is stopping")
}

// finish ends the request. It writes the latest error answer of a target if there
// is one and the caller has no head yet; otherwise it returns the refusal.
func (d *delivery) finish(r refusal.Refusal) Outcome {
	if d.failure != nil && !d.headSent {
		if d.begin(d.failure.head) == nil && d.out.Write(d.failure.body) == nil {
			return Outcome{HeadSent: true}
		}
	}
	r = r.WithRan(retry.MoreCautious(d.ran, r.Ran))
	return Outcome{Refusal: &r, HeadSent: d.headSent}
}

// attempt sends the request to the target once and delivers the answer. It returns
// how the attempt ended, and whether the caller received a complete answer.
func (d *delivery) attempt(ctx context.Context) (retry.Attempt, bool) {
	d.headReceived, d.events, d.bodyReceived, d.closed, d.late = false, 0, false, false, false
	d.sending, d.sentAfter, d.writtenAfter = Sending{}, d.service.clock().Sub(d.arrived), 0
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	left := d.admission.Deadline.Sub(d.service.clock())
	wd := newWatchdog(cancel)
	defer wd.stop()
	if timeout := d.attemptTimeout(left); timeout > 0 {
		wd.start(timeout)
	}
	if !d.service.State().Proven(d.admission.Parts, d.service.clock()) {
		defer d.service.unproven.add(d.admission.Parts, cancel)()
	}
	reply, err := d.service.targets.Send(ctx, Call{
		Message: d.request.Message, ID: d.request.ID, Address: d.target.Address, Instance: d.target.ID,
		Host: d.request.Host, Account: d.admission.Account, SendPriority: d.admission.Route.Kind == route.Stream, Priority: d.admission.Priority,
		Timeout: left, LastEventID: d.lastEventID,
		BeforeSend: d.checkSendTime, OnSend: d.recordSending,
	})
	if errors.Is(err, ErrNotSent) {
		d.late = errors.Is(err, ErrLate)
		d.logFailure("not sent", err)
		return d.newAttempt(retry.NotSent), false
	}
	d.possibleRuns++
	if err != nil {
		return d.brokenAttempt("broken", err), false
	}
	defer reply.Close()
	d.service.recordResponse(d.target.ID)
	return d.receive(ctx, reply, wd)
}

// receive handles the answer of the current attempt, of which the head has arrived.
func (d *delivery) receive(ctx context.Context, reply Reply, wd *watchdog) (retry.Attempt, bool) {
	d.headReceived = true
	head := reply.Head()
	d.service.recordStatements(d.target, head)
	if head.Unframed {
		answer := reply
		reply = unframedReply{Reply: answer, prove: func() error { return d.proveEnd(ctx, answer) }}
	}
	switch {
	case head.NotRun:
		return d.refusedAttempt(head), false
	case !head.Signed: // the answer may not come from the target
		d.logFailure("unsigned answer", nil, "status", head.Status)
		return d.newAttempt(retry.Broken), false
	case head.Promises:
		return d.unprovenRefusal(head), false
	case head.Status < 300 && d.admission.Route.Kind == route.Stream:
		d.service.recordGroupWorking(d.target)
		return d.deliverStream(reply, wd)
	case d.streamBegun: // only a stream can continue what the caller has
		return d.failedAttempt(head), false
	default:
		return d.deliverBuffered(reply)
	}
}

// refusedAttempt returns the current attempt, whose target did not run the request.
func (d *delivery) refusedAttempt(head Head) retry.Attempt {
	d.possibleRuns--
	evidence := "the target states that it did not run the request"
	if head.Replaced {
		evidence = "the process that answered is another than the target"
	}
	d.logFailure("not run", nil, "status", head.Status, "evidence", evidence, "group", head.GroupLost, "leaving", head.Leaving, "pause", head.Pause, "invalid", head.InvalidPause)
	if head.GroupLost {
		d.service.recordGroupLost(d.target)
	}
	if head.Replaced {
		d.service.recordReplaced(d.target.ID)
	}
	attempt := d.newAttempt(retry.Refused)
	attempt.Refusal = refusal.New(refusal.Busy, refusal.No, "the target did not run the request; try again")
	return attempt
}

// unprovenRefusal returns the current attempt, whose target refused the request but did not
// state that it did not run. Callers would take the status for that statement, so it is not
// passed on.
func (d *delivery) unprovenRefusal(head Head) retry.Attempt {
	d.logFailure("unproven refusal", nil, "status", head.Status, "pause", head.Pause)
	attempt := d.newAttempt(retry.Stopped)
	attempt.Refusal = refusal.New(refusal.Failed, refusal.Unknown, "the target refused the request without stating that it did not run; check the outcome before asking anew")
	return attempt
}

// attemptTimeout returns how long an attempt may take: on a stream until the answer
// begins, otherwise until it is complete. 0 means that only the deadline of the
// request applies: if targets take longer than half of the time left, another one would
// not answer in the other half.
func (d *delivery) attemptTimeout(left time.Duration) time.Duration {
	if d.admission.Route.Kind == route.Stream {
		return d.admission.Route.EventTimeout() - firstEventReserve
	}
	if !d.admission.Route.Repeatable() || d.possibleRuns+1 >= d.admission.Route.Attempts {
		return 0
	}
	half := left / attemptTimeoutDivisor
	if d.service.State().AnswerTime(d.admission.Service, d.service.clock()) > half {
		return 0
	}
	return half
}

// brokenAttempt logs and returns the current attempt, whose answer is not whole. how is
// its kind in the metrics.
func (d *delivery) brokenAttempt(how string, err error, pairs ...any) retry.Attempt {
	d.closed = errors.Is(err, ErrClosed) || errors.Is(err, io.EOF)
	d.logFailure(how, err, pairs...)
	return d.newAttempt(retry.Broken)
}

// newAttempt describes the current attempt, which ended with end.
func (d *delivery) newAttempt(end retry.End) retry.Attempt {
	return retry.Attempt{
		End: end, Idempotent: d.admission.Route.Repeatable(), Resumes: d.streamBegun,
		Delivered: d.headSent, Sends: 1,
	}
}
