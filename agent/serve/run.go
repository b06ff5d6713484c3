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

// resumeInterval is how often a paused run asks to go back to the target.
const resumeInterval = 100 * time.Millisecond

// errBlocked is why a run lets its target go: the reader takes nothing.
var errBlocked = errors.New("the reader blocks the answer")

// run is one request running at the target.
type run struct {
	service *Service
	request Request
	answer  *answer.Answer
	kept    bool
	resumes bool // the target can continue the answer from an offset
	ctx     context.Context
	cancel  context.CancelFunc
}

// newRun returns a run. One whose answer is kept goes on when its reader leaves,
// until the ticket expires, so that a repeat finds the outcome.
func newRun(s *Service, r Request, a *answer.Answer, kept bool) *run {
	bound := r.Remaining
	if kept {
		bound = max(bound, time.Until(r.Ticket.Expiry))
	}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	service, _ := s.State().Configuration.Service(r.Ticket.Service)
	return &run{service: s, request: r, answer: a, kept: kept, resumes: !kept && service.Resumes, ctx: ctx, cancel: cancel}
}

// leave tells the run that its first reader is gone.
func (r *run) leave() {
	if !r.kept {
		r.cancel()
	}
}

func (r *run) run() {
	defer r.cancel()
	paced := newPaced(r)
	err := r.call(paced)
	for errors.Is(err, errBlocked) {
		if err = r.pause(); err == nil {
			paced = newPaced(r)
			err = r.call(paced)
		}
	}
	r.settle(err)
	ended := target.RunResult{
		Ticket: r.request.Ticket, Bytes: r.answer.Size(), MeanStep: paced.usual(),
		Broken: err != nil && r.ctx.Err() == nil && !trace.IsLimitExceeded(err),
		Failed: paced.status >= http.StatusInternalServerError,
	}
	r.service.change(func(state target.State, now time.Time) target.State { return state.End(ended, now) })
}

// call makes the call, unless the process slept past the ticket's expiry since
// the decision to start it.
func (r *run) call(sink Sink) error {
	t := r.request.Ticket
	if t.Expired(time.Now()) && r.answer.Offset() == r.request.Offset {
		return trace.Wrap(errExpired)
	}
	return r.service.engine.Run(r.ctx, Call{
		ID: t.ID, Attempt: r.request.Attempt, Name: t.Call,
		Content: r.request.Content, Body: r.request.Body, Offset: r.answer.Offset(),
	}, sink)
}

var errExpired = errors.New("the ticket expired before the request started")

// pause lets the target go until the reader has caught up and the target has
// room again.
func (r *run) pause() error {
	account := r.request.Ticket.Account
	r.service.meter.Inc("runs", "paused")
	r.service.change(func(state target.State, _ time.Time) target.State { return state.Pause(account) })
	err := r.answer.Drained(r.ctx)
	for err == nil {
		resumed, failed := control.Ask(r.ctx, r.service.owner, func(state target.State, now time.Time) (target.State, bool) {
			return state.Resume(account, now)
		})
		if resumed {
			r.service.meter.Inc("runs", "resumed")
			return nil
		}
		if err = failed; err == nil {
			err = r.wait(resumeInterval)
		}
	}
	// The run counts as running until its end, so it is counted again.
	r.service.change(func(state target.State, _ time.Time) target.State { return state.ForceResume(account) })
	return err
}

func (r *run) wait(d time.Duration) error {
	if !clock.Pause(r.ctx, d) {
		return trace.Wrap(r.ctx.Err())
	}
	return nil
}

// settle gives the answer its end.
func (r *run) settle(err error) {
	if err != nil {
		r.service.journal.Event("run failed", "ticket", r.request.Ticket.ID, "account", r.request.Ticket.Account, "attempt", r.request.Attempt,
			"bytes", r.answer.Size(), "error", err)
	}
	switch {
	case err == nil:
		r.answer.Finish()
	case errors.Is(err, errExpired):
		r.answer.Fail(refusal.New(refusal.Expired, refusal.No, "the ticket expired before the request started; fetch a new ticket"))
	case errors.Is(err, ErrNotSent):
		r.answer.Fail(refusal.New(refusal.Failed, refusal.No, "the target can't be reached by its agent; try again").WithRetry(time.Second))
	case errors.Is(r.ctx.Err(), context.DeadlineExceeded):
		r.answer.Fail(refusal.New(refusal.Deadline, refusal.Unknown, "the target did not answer in time; check the outcome before asking anew"))
	case trace.IsLimitExceeded(err):
		r.answer.Fail(refusal.New(refusal.Oversized, refusal.Yes, "the answer is larger than may be kept; ask for less"))
	default:
		r.answer.Fail(refusal.New(refusal.Failed, refusal.Unknown, "the target failed while the request ran; check the outcome before asking anew"))
	}
}

// paced is a sink that watches the target's pace and gives a blocked answer up.
type paced struct {
	run   *run
	last  time.Time // when the part before came
	steps int
	slow  int // slow steps in a row
	total time.Duration

	status int // of the answer's head
}

// slowInRow is how many slow steps in a row tell of a cold target. One may be a
// pause of the machine.
const slowInRow = 2

func newPaced(r *run) *paced {
	return &paced{run: r}
}

// Begin passes the head on.
func (p *paced) Begin(head answer.Head) {
	p.run.answer.Begin(head)
	p.status = head.Status
	p.last = time.Now()
}

// Write passes bytes on. Where the reader blocks for too long and the target
// can resume, the run is to let the target go.
func (p *paced) Write(ctx context.Context, bytes []byte) error {
	p.observe(time.Since(p.last))
	defer func() { p.last = time.Now() }()
	if !p.run.resumes {
		return p.run.answer.Write(ctx, bytes)
	}
	bounded, cancel := context.WithTimeout(ctx, p.run.service.release)
	defer cancel()
	err := p.run.answer.Write(bounded, bytes)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		return errBlocked
	}
	return err
}

// observe takes note of one step and reports it where it tells of a cold target.
func (p *paced) observe(step time.Duration) {
	p.steps++
	p.total += step
	if slow, known := p.run.service.State().SlowAfter(); !known || step <= slow {
		p.slow = 0
		return
	}
	p.slow++
	if p.slow == slowInRow {
		p.run.service.meter.Inc("steps", "slow")
		p.run.service.change(func(state target.State, now time.Time) target.State { return state.WithSlowSteps(now) })
	}
}

// usual returns the mean step, 0 where there is none.
func (p *paced) usual() time.Duration {
	if p.steps == 0 {
		return 0
	}
	return p.total / time.Duration(p.steps)
}
