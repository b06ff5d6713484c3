package serve

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamtray/core/entry"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/retry"
	"hornbeamtray/core/splice"
	"hornbeamtray/core/ticket"
)

const (
	resolveTimeout = 2 * time.Second
	maxRejoins     = 3
)

// Request is one request of a caller.
type Request struct {
	Digest      string // Digest is that of the caller's key.
	Service     string
	Call        string
	ContentType string
	Body        []byte
	Ticket      *ticket.Ticket // Ticket is set where the caller brought one.
}

// localRefusal returns a refusal that the instance makes on its own. Where the
// caller brought a ticket, an earlier request under it may have run.
func (r Request) localRefusal(refused refusal.Refusal) *refusal.Refusal {
	if r.Ticket != nil {
		refused = refused.WithRan(refusal.Unknown)
	}
	return &refused
}

// Outcome is what a request came to. Without a refusal the answer is whole.
type Outcome struct {
	Ticket   ticket.Ticket // Ticket of the last attempt; empty where none was made.
	Refusal  *refusal.Refusal
	HeadSent bool // Begun is true where the caller has the answer's head.
}

// Mint returns a ticket for a later request, so that the caller can repeat it.
func (s *Service) Mint(ctx context.Context, r Request) (ticket.Ticket, *refusal.Refusal) {
	a, refused := s.admit(ctx, r)
	if refused != nil {
		return ticket.Ticket{}, refused
	}
	defer s.release(a)
	c := s.choose(ctx, a, nil)
	if c.refused == nil {
		s.recordAttempt(c.ticket.Target, false, nil) // nothing was sent
	}
	return c.ticket, c.refused
}

// Serve answers one request through out, or returns why it could not.
func (s *Service) Serve(ctx context.Context, r Request, out Writer) Outcome {
	a, refused := s.admit(ctx, r)
	if refused != nil {
		o := Outcome{Refusal: r.localRefusal(*refused)}
		s.logRefusal(r, o, 0, 0)
		return o
	}
	defer s.release(a)
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	defer context.AfterFunc(s.abortContext, cancel)()
	d := &delivery{
		service: s, admission: a, request: r, out: out,
		idempotent: a.Service.Idempotent(r.Call), started: time.Now(), digest: xxhash.New(),
	}
	o := d.run(ctx)
	s.logRefusal(r, o, d.attempts, time.Since(d.started))
	return o
}

// logRefusal writes what decided a request that has no whole answer.
func (s *Service) logRefusal(r Request, o Outcome, attempts int, took time.Duration) {
	if o.Refusal == nil {
		return
	}
	s.journal.Event("refused", "ticket", o.Ticket.ID, "target", o.Ticket.Target, "service", r.Service, "call", r.Call,
		"kind", o.Refusal.Kind, "ran", o.Refusal.Ran, "remedy", o.Refusal.Remedy, "version", s.State().Configuration.Version,
		"begun", o.HeadSent, "attempts", attempts, "took", took)
}

// delivery is one request on its way to a whole answer.
type delivery struct {
	service    *Service
	admission  entry.Admission
	request    Request
	out        Writer
	idempotent bool
	started    time.Time

	ticket         ticket.Ticket
	address        string
	attempts       int // attempts so far, over all tickets
	ticketSends    int // sends of the present ticket
	headSent       bool
	deliveredBytes uint64
	digest         *xxhash.Digest // of the bytes delivered in this attempt
	lastReport     *entry.Report  // what the agent said of itself last
	ran            refusal.Ran    // the most cautious word on all attempts
}

func (d *delivery) run(ctx context.Context) Outcome {
	d.ran = refusal.No
	if d.idempotent && d.request.Ticket != nil {
		d.ran = refusal.Unknown // no ledger tells of an earlier request under the ticket
	}
	var tried []string
	for {
		if refused := d.selectTicket(ctx, tried); refused != nil {
			return d.refuse(*refused)
		}
		next, whole := d.runTicket(ctx)
		d.service.recordAttempt(d.ticket.Target, !whole && next.Refusal.Kind.IsTargetFault(), d.lastReport)
		if whole {
			return Outcome{Ticket: d.ticket, HeadSent: true}
		}
		d.ran = retry.MoreCautious(d.ran, next.Refusal.Ran)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return d.refuse(refusal.New(refusal.Deadline, d.ran, "the request's deadline passed; repeat with the same ticket to learn the outcome"))
		}
		if next.Step != retry.Elsewhere || !d.waitForRetry(ctx, next.ExemptFromBudget()) {
			return d.refuse(next.Refusal)
		}
		tried = append(tried, d.ticket.Target)
	}
}

// selectTicket takes the caller's ticket, or a new one on a target not yet tried.
func (d *delivery) selectTicket(ctx context.Context, tried []string) *refusal.Refusal {
	d.ticketSends = 0
	if t := d.request.Ticket; t != nil && d.attempts == 0 {
		address, refused := d.service.State().AgentAddress(d.admission, *t)
		d.ticket, d.address = *t, address
		if refused != nil {
			refused = d.request.localRefusal(*refused)
		}
		return refused
	}
	c := d.service.choose(ctx, d.admission, tried)
	if c.refused == nil {
		d.ticket, d.address = c.ticket, c.address
	}
	return c.refused
}

// waitForRetry waits before another attempt. One that is not free needs the budgets of
// the account and the service; a free one needs patience.
func (d *delivery) waitForRetry(ctx context.Context, exempt bool) bool {
	if exempt {
		return time.Since(d.started) < d.service.maxTargetWait && d.service.pause(ctx, d.attempts)
	}
	if !d.service.takeRetry(ctx, d.admission) {
		d.service.meter.Inc("retries", "refused")
		return false
	}
	d.service.meter.Inc("retries", "made")
	return d.service.pause(ctx, d.attempts)
}

// runTicket makes an attempt under the present ticket and clears up what became of
// it, as far as that can be learned.
func (d *delivery) runTicket(ctx context.Context) (retry.Next, bool) {
	for rejoins := 0; ; rejoins++ {
		attempt, whole := d.attempt(ctx)
		if whole {
			return retry.Next{}, true
		}
		next := retry.Decide(attempt)
		if next.Step == retry.Resolve {
			next = d.resolve(ctx, attempt, next.Refusal)
		}
		if next.Step != retry.Rejoin {
			return next, false
		}
		if rejoins == maxRejoins || ctx.Err() != nil {
			return retry.Next{Step: retry.Refuse, Refusal: next.Refusal}, false
		}
	}
}

// resolve asks the ticket's holder what became of it. It outlives the request's
// deadline by a little, so that a late refusal still tells the truth.
func (d *delivery) resolve(ctx context.Context, attempt retry.Attempt, r refusal.Refusal) retry.Next {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	stage, err := d.service.agents.Void(ctx, d.address, d.ticket)
	if err != nil {
		d.service.meter.Inc("resolves", "failed")
		return retry.Next{Step: retry.Refuse, Refusal: r}
	}
	d.service.meter.Inc("resolves", "answered")
	return retry.AfterResolve(attempt, stage, r)
}

// attempt sends the present ticket once and takes the answer as far as it comes.
func (d *delivery) attempt(ctx context.Context) (retry.Attempt, bool) {
	d.attempts++
	d.ticketSends++
	d.digest.Reset()
	d.lastReport = nil
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := d.service.agents.Serve(ctx, d.address, Call{
		Ticket: d.ticket, Attempt: d.attempts, Idempotent: d.idempotent, Deadline: d.admission.Deadline,
		ContentType: d.request.ContentType, Body: d.request.Body, Offset: d.deliveredBytes,
	})
	if err != nil {
		return d.attemptWithEnd(retry.NotSent), false
	}
	defer stream.Close()
	w := newWatchdog(d.service.agentTimeout, cancel)
	defer w.stop()
	for {
		w.start()
		part, err := stream.Next()
		w.stop()
		if err != nil {
			return d.attemptWithEnd(retry.Broken), false
		}
		if part.ID != d.ticket.ID || part.Attempt != d.attempts {
			d.service.meter.Inc("parts", "astray")
			continue
		}
		if attempt, done, whole := d.handlePart(part); done {
			return attempt, whole
		}
	}
}

// handlePart deals with one part: done ends the attempt, whole the request.
func (d *delivery) handlePart(part Part) (attempt retry.Attempt, done, whole bool) {
	if part.Report != nil {
		d.lastReport = part.Report
	}
	switch {
	case part.Refusal != nil:
		a := d.attemptWithEnd(retry.Refused)
		if part.RunStarted {
			a.End = retry.Stopped
		}
		a.Refusal = *part.Refusal
		return a, true, false
	case part.End != nil:
		whole := splice.Whole(d.deliveredBytes, part.End.Length, d.digest.Sum64(), part.End.Digest)
		return d.attemptWithEnd(retry.Broken), true, whole
	case part.Head != nil && !d.headSent:
		d.headSent = true
		d.service.meter.Observe("first", time.Since(d.started))
		if err := d.out.WriteHead(d.ticket, *part.Head); err != nil {
			return d.attemptWithEnd(retry.Abandoned), true, false
		}
	case len(part.Data) > 0:
		if end, ok := d.writeData(part); !ok {
			return d.attemptWithEnd(end), true, false
		}
	}
	return retry.Attempt{}, false, false
}

// writeData writes what is new in a part. Where it can't, it says how the attempt ends.
func (d *delivery) writeData(part Part) (retry.End, bool) {
	alignment := splice.Align(d.deliveredBytes, part.Offset, len(part.Data))
	if alignment.Gap {
		d.service.meter.Inc("parts", "gap")
		return retry.Broken, false
	}
	newData := part.Data[alignment.Skip:]
	if len(newData) == 0 {
		return 0, true
	}
	if err := d.out.Write(newData); err != nil {
		return retry.Abandoned, false
	}
	_, _ = d.digest.Write(newData)
	d.deliveredBytes += uint64(len(newData))
	return 0, true
}

func (d *delivery) attemptWithEnd(end retry.End) retry.Attempt {
	return retry.Attempt{
		End: end, Idempotent: d.idempotent, Delivered: d.headSent,
		Resumes: d.admission.Service.Resumes, CallerHasTicket: d.request.Ticket != nil, Sends: d.ticketSends,
	}
}

func (d *delivery) refuse(r refusal.Refusal) Outcome {
	r = r.WithRan(retry.MoreCautious(d.ran, r.Ran))
	return Outcome{Ticket: d.ticket, Refusal: &r, HeadSent: d.headSent}
}
