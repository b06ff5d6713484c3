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
	reading, refused := h.current().Serve(ctx, request)
	if refused != nil {
		return &answerStream{ctx: ctx, call: call, queue: []serve.Part{{ID: call.Ticket.ID, Attempt: call.Attempt, Refusal: refused}}}, nil
	}
	injectHostFault(f, h, afterStart)
	return &answerStream{ctx: ctx, call: call, reader: reading, fault: f, host: h, broken: f.point == afterStart && f.kind == disconnect}, nil
}

// deliverLate delivers a request after its sender has lost the connection: 10 ms
// later, or after the ticket's expiry for delayPastExpiry. disconnect drops it.
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
		if reading, refused := h2.current().Serve(context.Background(), request); refused == nil {
			reading.Close()
		}
	})
	injectHostFault(f, h, afterSending)
}

// Void calls Void on the agent at address, or fails if the fault list says so.
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

// injectHostFault kills the agent or the target if f does so at the given point.
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

// Next returns the next part. Where the fault is due, it first injects the fault;
// a fault up to delayPastExpiry then breaks the stream.
func (p *answerStream) Next() (serve.Part, error) {
	if p.broken || p.ctx.Err() != nil {
		return serve.Part{}, errLink
	}
	if len(p.queue) > 0 {
		part := p.queue[0]
		p.queue = p.queue[1:]
		return part, nil
	}
	part, err := p.read()
	if err == nil && p.drops(part) {
		part, err = p.read()
	}
	if err != nil {
		return serve.Part{}, err
	}
	if p.reachesFault(part) {
		injectHostFault(p.fault, p.host, p.fault.point)
		if p.fault.kind <= delayPastExpiry {
			p.broken = true
			return serve.Part{}, errLink
		}
	}
	return p.inject(part), nil
}

func (p *answerStream) read() (serve.Part, error) {
	wait, cancel := context.WithTimeout(p.ctx, time.Second)
	defer cancel()
	got, err := p.reader.Next(wait)
	part := serve.Part{ID: p.call.Ticket.ID, Attempt: p.call.Attempt, Offset: got.Offset, Data: got.Data, RunStarted: true, Refusal: got.Refusal}
	if err != nil && p.ctx.Err() != nil {
		return part, errLink
	}
	if got.Head != nil {
		part.Head = &serve.Head{Status: got.Head.Status, ContentType: got.Head.ContentType}
	}
	if got.End != nil {
		part.End = &serve.End{Length: got.End.Length, Digest: got.End.Digest}
	}
	p.partsRead++
	return part, nil
}

// reachesFault reports whether the fault is due at part.
func (p *answerStream) reachesFault(part serve.Part) bool {
	return p.fault.point == halfRead && p.partsRead == 3 || p.fault.point == afterFinish && part.End != nil
}

// drops reports whether the fault drops part, the last one with data.
func (p *answerStream) drops(part serve.Part) bool {
	whole := len(answerTo(string(p.call.Body)))
	return p.fault.kind == dropLastPart && len(part.Data) > 0 && int(part.Offset)+len(part.Data) == whole
}

// inject duplicates part, or inserts parts of other answers before it, if the
// fault says so.
func (p *answerStream) inject(part serve.Part) serve.Part {
	switch {
	case p.fault.kind == duplicate && part.End == nil && part.Refusal == nil:
		p.queue = append(p.queue, part)
	case p.fault.kind == interleave:
		foreign := serve.Part{ID: "foreign", Attempt: part.Attempt, Offset: part.Offset, Data: []byte("foreign bytes")}
		late := serve.Part{ID: part.ID, Attempt: part.Attempt + 1, End: &serve.End{}}
		p.queue = append(p.queue, late, part)
		return foreign
	}
	return part
}

// Close stops reading the answer.
func (p *answerStream) Close() {
	if p.reader != nil {
		p.reader.Close()
	}
}
