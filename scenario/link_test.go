package scenario

import (
	"context"
	"sync"
	"time"

	agentserve "hornbeamtray/agent/serve"
	"hornbeamtray/core/ledger"
	"hornbeamtray/core/target"
	"hornbeamtray/core/ticket"
	"hornbeamtray/entry/serve"
)

// link connects entry instances to hosts and injects a list of faults, one per
// Serve call.
type link struct {
	hosts map[string]*host // by address

	mu           sync.Mutex
	faults       []fault
	loseNextVoid bool // the next Void call fails
}

func (l *link) nextFault() fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.faults) == 0 {
		return fault{}
	}
	f := l.faults[0]
	l.faults = l.faults[1:]
	l.loseNextVoid = f.loseVoid
	return f
}

// Serve sends one call to the agent at address and injects the next fault.
func (l *link) Serve(ctx context.Context, address string, call serve.Call) (serve.Stream, error) {
	f, h := l.nextFault(), l.hosts[address]
	injectHostFault(f, h, beforeSending)
	if f.point == beforeSending {
		return nil, errLink
	}
	request := agentserve.Request{
		Request:   target.Request{Ticket: call.Ticket, Digest: 1, Idempotent: call.Idempotent},
		Attempt:   call.Attempt,
		Remaining: time.Until(call.Deadline), Body: call.Body, Offset: call.Offset,
	}
	if f.point == afterSending {
		l.deliverLate(f, h, request)
		return &answerStream{ctx: ctx, broken: true}, nil
	}
	reader, refused := h.current().Serve(ctx, request)
	if refused != nil {
		return &answerStream{ctx: ctx, call: call, queue: []serve.Part{{ID: call.Ticket.ID, Attempt: call.Attempt, Refusal: refused}}}, nil
	}
	injectHostFault(f, h, afterStart)
	return &answerStream{ctx: ctx, call: call, reader: reader, fault: f, host: h, broken: f.point == afterStart && f.kind == disconnect}, nil
}

// deliverLate delivers a request whose sender has lost the connection: 10 ms later
// or, if the kind is delayPastExpiry, after the ticket has expired. If the kind is
// disconnect, the request is lost.
func (l *link) deliverLate(f fault, h *host, request agentserve.Request) {
	if f.kind == disconnect {
		return
	}
	delay := 10 * time.Millisecond
	if f.kind == delayPastExpiry {
		delay = ticket.Lifetime + time.Second
	}
	h2 := h
	time.AfterFunc(delay, func() {
		if reader, refused := h2.current().Serve(context.Background(), request); refused == nil {
			reader.Close()
		}
	})
	injectHostFault(f, h, afterSending)
}

// Void calls Void on the agent at address. If the last fault taken from the list has
// loseVoid, the next Void call fails instead.
func (l *link) Void(ctx context.Context, address string, t ticket.Ticket) (ledger.Stage, error) {
	l.mu.Lock()
	lost := l.loseNextVoid
	l.loseNextVoid = false
	l.mu.Unlock()
	if lost {
		return ledger.Absent, errLink
	}
	return l.hosts[address].current().Void(ctx, t)
}

// injectHostFault injects f if its point is at: killAgent kills and restarts the
// agent, killTarget kills the target. Other kinds have no effect here.
func injectHostFault(f fault, h *host, at faultPoint) {
	if f.point != at {
		return
	}
	switch f.kind {
	case killAgent:
		h.restart()
	case killTarget:
		h.engine.kill()
	}
}

// answerStream carries one answer from an agent to an entry instance.
type answerStream struct {
	ctx       context.Context
	call      serve.Call
	reader    *agentserve.AnswerReader
	fault     fault
	host      *host
	broken    bool
	queue     []serve.Part
	partsRead int
}

// Next returns the next part. If the fault is due at this part, Next injects it. If
// the kind is disconnect, killAgent, killTarget or delayPastExpiry, this also breaks
// the stream: Next returns errLink instead of this part and of all later ones.
func (s *answerStream) Next() (serve.Part, error) {
	if s.broken || s.ctx.Err() != nil {
		return serve.Part{}, errLink
	}
	if len(s.queue) > 0 {
		part := s.queue[0]
		s.queue = s.queue[1:]
		return part, nil
	}
	part, err := s.read()
	if err == nil && s.drops(part) {
		part, err = s.read()
	}
	if err != nil {
		return serve.Part{}, err
	}
	if s.reachesFault(part) {
		injectHostFault(s.fault, s.host, s.fault.point)
		if s.fault.kind <= delayPastExpiry {
			s.broken = true
			return serve.Part{}, errLink
		}
	}
	return s.inject(part), nil
}

func (s *answerStream) read() (serve.Part, error) {
	wait, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	got, err := s.reader.Next(wait)
	part := serve.Part{ID: s.call.Ticket.ID, Attempt: s.call.Attempt, Offset: got.Offset, Data: got.Data, RunStarted: true, Refusal: got.Refusal}
	if err != nil && s.ctx.Err() != nil {
		return part, errLink
	}
	if got.Head != nil {
		part.Head = &serve.Head{Status: got.Head.Status, ContentType: got.Head.ContentType}
	}
	if got.End != nil {
		part.End = &serve.End{Length: got.End.Length, Digest: got.End.Digest}
	}
	s.partsRead++
	return part, nil
}

// reachesFault reports whether the fault is due at part: for halfRead, at the third
// part read; for afterFinish, at the end of the answer.
func (s *answerStream) reachesFault(part serve.Part) bool {
	return s.fault.point == halfRead && s.partsRead == 3 || s.fault.point == afterFinish && part.End != nil
}

// drops reports whether the fault's kind is dropLastPart and part is the last one with
// data.
func (s *answerStream) drops(part serve.Part) bool {
	whole := len(answerTo(string(s.call.Body)))
	return s.fault.kind == dropLastPart && len(part.Data) > 0 && int(part.Offset)+len(part.Data) == whole
}

// inject returns the part to deliver now and queues those to deliver after it. The
// kind duplicate delivers part twice, unless it is an end or a refusal. The kind
// interleave delivers a part of another request and one of another attempt before it.
func (s *answerStream) inject(part serve.Part) serve.Part {
	switch {
	case s.fault.kind == duplicate && part.End == nil && part.Refusal == nil:
		s.queue = append(s.queue, part)
	case s.fault.kind == interleave:
		otherRequest := serve.Part{ID: "foreign", Attempt: part.Attempt, Offset: part.Offset, Data: []byte("foreign bytes")}
		otherAttempt := serve.Part{ID: part.ID, Attempt: part.Attempt + 1, End: &serve.End{}}
		s.queue = append(s.queue, otherAttempt, part)
		return otherRequest
	}
	return part
}

// Close stops reading the answer.
func (s *answerStream) Close() {
	if s.reader != nil {
		s.reader.Close()
	}
}
