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
	resolveTimeout = 2 * time.Second // bounds the call that asks an agent to void a ticket
	maxRejoins     = 3               // bounds how often in a row a ticket is sent again to receive the answer of its run
)

// Request is a request of a caller.
type Request struct {
	KeyDigest   string // KeyDigest is the SHA-256 digest of the caller's key, in hexadecimal; empty if there is no key.
	Service     string
	Call        string
	ContentType string
	Body        []byte
	Ticket      *ticket.Ticket // Ticket is the caller's ticket; nil if the caller sent none.
}

// localRefusal returns a refusal for a request that this instance refuses without
// asking an agent. If the caller sent a ticket, ran is unknown, because an earlier
// request with the ticket may have run.
func (r Request) localRefusal(refused refusal.Refusal) *refusal.Refusal {
	if r.Ticket != nil {
		refused = refused.WithRan(refusal.Unknown)
	}
	return &refused
}

// Outcome is the outcome of a request. If Refusal is nil, the caller was sent the
// whole answer.
type Outcome struct {
	Ticket   ticket.Ticket // Ticket is the last one selected for the request; zero if there was none.
	Refusal  *refusal.Refusal
	HeadSent bool // HeadSent reports whether the answer's head was passed to the Writer.
}

// Mint returns a ticket for a later request. With the ticket, the caller can safely
// repeat that request.
func (s *Service) Mint(ctx context.Context, r Request) (ticket.Ticket, *refusal.Refusal) {
	a, refused := s.admit(ctx, r)
	if refused != nil {
		return ticket.Ticket{}, refused
	}
	defer s.release(a)
	c := s.choose(ctx, a, nil)
	if c.refused == nil {
		s.recordAttempt(c.ticket.Target, false, nil) // ends the attempt that choose counted; nothing was sent
	}
	return c.ticket, c.refused
}

// Serve handles a request and writes its answer to out. If it can't write the whole
// answer, the outcome has a refusal.
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

// logRefusal logs why a request got no whole answer. It logs nothing for other requests.
func (s *Service) logRefusal(r Request, o Outcome, attempts int, took time.Duration) {
	if o.Refusal == nil {
		return
	}
	s.journal.Event("refused", "ticket", o.Ticket.ID, "target", o.Ticket.Target, "service", r.Service, "call", r.Call,
		"kind", o.Refusal.Kind, "ran", o.Refusal.Ran, "remedy", o.Refusal.Remedy, "version", s.State().Configuration.Version,
		"begun", o.HeadSent, "attempts", attempts, "took", took)
}

// delivery is the state of an admitted request while it is handled.
type delivery struct {
	service    *Service
	admission  entry.Admission
	request    Request
	out        Writer
	idempotent bool
	started    time.Time

	ticket         ticket.Ticket
	address        string
	attempts       int // number of attempts so far, with any ticket
	ticketSends    int // number of attempts with the current ticket
	headSent       bool
	status         int            // of the head that was sent
	deliveredBytes uint64         // bytes of the answer written to out, over all attempts
	digest         *xxhash.Digest // covers the bytes written to out in this attempt
	lastReport     *entry.Report  // the agent's latest report in this attempt; nil if there was none
	ran            refusal.Ran    // whether the request ran: the most cautious value of all attempts so far
}

func (d *delivery) run(ctx context.Context) Outcome {
	d.ran = refusal.No
	if d.idempotent && d.request.Ticket != nil {
		d.ran = refusal.Unknown // an earlier request with the ticket may have run; agents record no idempotent requests
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

// selectTicket sets the ticket for the next attempt: the caller's ticket, if there is
// one and this is the first attempt, else a new one for a target not in tried if
// possible.
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

// waitForRetry waits for the backoff before the next attempt and reports whether that
// attempt is allowed. An exempt retry is allowed until maxTargetWait after the start of
// the request; other retries take from the budgets of the account and the service.
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

// runTicket makes attempts with the current ticket until the answer is whole or the
// next step needs no further attempt with it, at most maxRejoins+1 in all. It reports
// whether the answer is whole.
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

// resolve asks the agent that holds the ticket to void it, and returns the next step.
// It ignores the end of ctx and may exceed the request's deadline by up to
// resolveTimeout, so that a late refusal still states truthfully whether the request
// ran.
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

// attempt sends the request with the current ticket once and writes the parts of the
// answer to out. It reports whether the answer is whole.
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

// handlePart handles one part. It reports whether the part ends the attempt, and
// whether the answer is then whole.
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
		d.headSent, d.status = true, part.Head.Status
		d.service.meter.Observe("first", time.Since(d.started))
		if err := d.out.WriteHead(d.ticket, *part.Head); err != nil {
			return d.attemptWithEnd(retry.Abandoned), true, false
		}
	case part.Head != nil && part.Head.Status != d.status: // an error can't continue the answer
		return d.attemptWithEnd(retry.Broken), true, false
	case len(part.Data) > 0:
		if end, ok := d.writeData(part); !ok {
			return d.attemptWithEnd(end), true, false
		}
	}
	return retry.Attempt{}, false, false
}

// writeData writes the new bytes of a part to out. If it can't, it returns false and
// how the attempt ended.
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

// attemptWithEnd returns a description of the current attempt with the given end. Another run can
// continue only a success.
func (d *delivery) attemptWithEnd(end retry.End) retry.Attempt {
	return retry.Attempt{
		End: end, Idempotent: d.idempotent, Delivered: d.headSent,
		Resumes: d.admission.Service.Resumes && d.status < 300, CallerHasTicket: d.request.Ticket != nil, Sends: d.ticketSends,
	}
}

// refuse returns the outcome of a refused request. The refusal's Ran is the most
// cautious value of r and all attempts.
func (d *delivery) refuse(r refusal.Refusal) Outcome {
	r = r.WithRan(retry.MoreCautious(d.ran, r.Ran))
	return Outcome{Ticket: d.ticket, Refusal: &r, HeadSent: d.headSent}
}
