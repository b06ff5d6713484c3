package serve

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/adapter/control"
	"hornbeamtray/agent/answer"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/target"
)

// resumeInterval is the interval at which a paused run tries to resume.
const resumeInterval = 100 * time.Millisecond

// errReaderBlocked ends a call to the target when the reader has blocked the answer
// for longer than the block timeout. The run is then paused.
var errReaderBlocked = errors.New("the reader blocked the answer for too long")

// errOtherAnswer ends a run that was resumed, and whose target then answered with another status.
var errOtherAnswer = errors.New("the target's answer doesn't continue the one that it began")

// run is the execution of one request at the target.
type run struct {
	service   *Service
	request   Request
	answer    *answer.Answer
	kept      bool // the answer is stored whole, for repeats of the request
	resumable bool // the target can continue the answer from an offset
	started   bool // a call before the present one reached the target
	status    int  // of the first call's answer; 0 before its head
	ctx       context.Context
	cancel    context.CancelFunc
}

// newRun returns a run whose timeout is the request's remaining time. If the answer
// is kept, the run may last until the ticket expires, if that is later, and continues
// after its reader disconnects, so that a repeat of the request receives the outcome.
func newRun(s *Service, r Request, a *answer.Answer, kept bool) *run {
	timeout := r.Remaining
	if kept {
		timeout = max(timeout, time.Until(r.Ticket.Expiry))
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	service, _ := s.State().Configuration.Service(r.Ticket.Service)
	return &run{service: s, request: r, answer: a, kept: kept, resumable: !kept && service.Resumes, ctx: ctx, cancel: cancel}
}

// cancelUnlessKept cancels the run, unless its answer is kept. It is called when
// the reader of the request that started the run is closed.
func (r *run) cancelUnlessKept() {
	if !r.kept {
		r.cancel()
	}
}

func (r *run) run() {
	defer r.cancel()
	sink := newMeasuringSink(r)
	err := r.call(sink)
	for errors.Is(err, errReaderBlocked) {
		r.started = true
		if err = r.pause(); err == nil {
			sink = newMeasuringSink(r)
			err = r.call(sink)
		}
	}
	r.endAnswer(err)
	result := target.RunResult{
		Ticket: r.request.Ticket, Bytes: r.answer.Size(), MeanStep: sink.meanStep(),
		Broken: err != nil && r.ctx.Err() == nil && !trace.IsLimitExceeded(err),
		Failed: sink.status >= http.StatusInternalServerError,
	}
	r.service.change(func(state target.State, now time.Time) target.State { return state.End(result, now) })
}

// call calls the target, and returns errOtherAnswer if the answer doesn't continue that of the
// first call. If no byte of the answer was received yet and the ticket has expired, it returns
// errExpired instead: the ticket was valid when the control goroutine started the run, but this
// process may have been paused since then.
func (r *run) call(sink *measuringSink) error {
	t := r.request.Ticket
	if t.Expired(time.Now()) && r.answer.Offset() == r.request.Offset {
		return trace.Wrap(errExpired)
	}
	err := r.service.engine.Run(r.ctx, Call{
		ID: t.ID, Attempt: r.request.Attempt, Name: t.Call,
		ContentType: r.request.ContentType, Body: r.request.Body, Offset: r.answer.Offset(),
	}, sink)
	if sink.status != 0 && sink.status != r.status {
		return errOtherAnswer
	}
	return err
}

var errExpired = errors.New("the ticket expired before the request started")

// pause waits, without a connection to the target, until the reader has read all
// buffered bytes and the target has capacity to resume the run.
func (r *run) pause() error {
	account := r.request.Ticket.Account
	r.service.meter.Inc("runs", "paused")
	r.service.change(func(state target.State, _ time.Time) target.State { return state.Pause(account) })
	err := r.answer.AwaitDrained(r.ctx)
	for err == nil {
		resumed, askErr := control.Ask(r.ctx, r.service.owner, func(state target.State, now time.Time) (target.State, bool) {
			return state.Resume(account, now)
		})
		if resumed {
			r.service.meter.Inc("runs", "resumed")
			return nil
		}
		if err = askErr; err == nil {
			err = r.wait(resumeInterval)
		}
	}
	// run calls State.End next, which expects a run that is counted as running.
	r.service.change(func(state target.State, _ time.Time) target.State { return state.ForceResume(account) })
	return err
}

func (r *run) wait(d time.Duration) error {
	if !clock.Pause(r.ctx, d) {
		return trace.Wrap(r.ctx.Err())
	}
	return nil
}

// endAnswer finishes the answer, or fails it with a refusal that matches err.
func (r *run) endAnswer(err error) {
	if err != nil {
		r.service.journal.Event("run failed", "ticket", r.request.Ticket.ID, "account", r.request.Ticket.Account, "attempt", r.request.Attempt,
			"bytes", r.answer.Size(), "error", err)
	}
	switch {
	case err == nil:
		r.answer.Finish()
	case errors.Is(err, errExpired):
		r.answer.Fail(refusal.New(refusal.Expired, refusal.No, "the ticket expired before the request started; fetch a new ticket"))
	case errors.Is(err, ErrNotSent) && !r.started:
		r.answer.Fail(refusal.New(refusal.Failed, refusal.No, "the target can't be reached by its agent; try again").WithRetry(time.Second))
	case errors.Is(r.ctx.Err(), context.DeadlineExceeded):
		r.answer.Fail(refusal.New(refusal.Deadline, refusal.Unknown, "the target did not answer in time; check the outcome before asking anew"))
	case trace.IsLimitExceeded(err):
		r.answer.Fail(refusal.New(refusal.Oversized, refusal.Yes, "the answer is larger than may be kept; ask for less"))
	default:
		r.answer.Fail(refusal.New(refusal.Failed, refusal.Unknown, "the target failed while the request ran; check the outcome before asking anew"))
	}
}

// measuringSink is a Sink that writes to the run's answer and measures the target's
// steps, which are the times between parts of the answer. If the answer can be resumed,
// Write fails when the reader blocks for too long.
type measuringSink struct {
	run       *run
	lastPart  time.Time // when the previous part, or the head, was written
	steps     int
	slowInRow int // consecutive slow steps
	total     time.Duration

	status int // of the answer's head
}

// slowStepsBeforeCold is the number of consecutive slow steps after which the target
// is considered cold. A single slow step may be due to a pause of the instance.
const slowStepsBeforeCold = 2

func newMeasuringSink(r *run) *measuringSink {
	return &measuringSink{run: r}
}

// Begin sets the head of the answer, unless an earlier call has.
func (p *measuringSink) Begin(head answer.Head) {
	if p.run.status == 0 {
		p.run.status = head.Status
		p.run.answer.Begin(head)
	}
	p.status = head.Status
	p.lastPart = time.Now()
}

// Write appends bytes to the answer. If the answer is a success, the run is resumable and the
// reader blocks for longer than the service's block timeout, it returns errReaderBlocked.
func (p *measuringSink) Write(ctx context.Context, bytes []byte) error {
	if p.status != p.run.status {
		return errOtherAnswer
	}
	p.observe(time.Since(p.lastPart))
	defer func() { p.lastPart = time.Now() }()
	if !p.run.resumable || p.status >= http.StatusMultipleChoices {
		return p.run.answer.Write(ctx, bytes)
	}
	writeCtx, cancel := context.WithTimeout(ctx, p.run.service.blockTimeout)
	defer cancel()
	err := p.run.answer.Write(writeCtx, bytes)
	if err != nil && writeCtx.Err() != nil && ctx.Err() == nil {
		return errReaderBlocked
	}
	return err
}

// observe records one step, and reports slow steps after slowStepsBeforeCold in a row.
func (p *measuringSink) observe(step time.Duration) {
	p.steps++
	p.total += step
	if threshold, known := p.run.service.State().SlowAfter(); !known || step <= threshold {
		p.slowInRow = 0
		return
	}
	p.slowInRow++
	if p.slowInRow == slowStepsBeforeCold {
		p.run.service.meter.Inc("steps", "slow")
		p.run.service.change(func(state target.State, now time.Time) target.State { return state.WithSlowSteps(now) })
	}
}

// meanStep returns the mean step, or 0 if there were no steps.
func (p *measuringSink) meanStep() time.Duration {
	if p.steps == 0 {
		return 0
	}
	return p.total / time.Duration(p.steps)
}
