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

// link joins entries to hosts and strikes by script.
type link struct {
	hosts map[string]*host // by address

	mu     sync.Mutex
	script []fault
	voids  bool // the next Void is lost
}

func (l *link) next() fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.script) == 0 {
		return fault{}
	}
	f := l.script[0]
	l.script = l.script[1:]
	l.voids = f.loseVoid
	return f
}

// Serve carries one call, with the next fault of the script.
func (l *link) Serve(ctx context.Context, address string, call serve.Call) (serve.Stream, error) {
	f, h := l.next(), l.hosts[address]
	strikeHost(f, h, beforeSending)
	if f.point == beforeSending {
		return nil, errLink
	}
	request := agentserve.Request{
		Request:   target.Request{Ticket: call.Ticket, Digest: 1, Idempotent: call.Idempotent},
		Attempt:   call.Attempt,
		Remaining: time.Until(call.Deadline), Body: call.Body, Offset: call.Offset,
	}
	if f.point == afterSending {
		l.astray(f, h, request)
		return &pipe{ctx: ctx, broken: true}, nil
	}
	reading, refused := h.current().Serve(ctx, request)
	if refused != nil {
		return &pipe{ctx: ctx, call: call, queue: []serve.Part{{ID: call.Ticket.ID, Attempt: call.Attempt, Refusal: refused}}}, nil
	}
	strikeHost(f, h, afterStart)
	return &pipe{ctx: ctx, call: call, reading: reading, fault: f, host: h, broken: f.point == afterStart && f.strike == cut}, nil
}

// astray delivers a request whose sender no longer waits, perhaps very late.
func (l *link) astray(f fault, h *host, request agentserve.Request) {
	if f.strike == cut {
		return
	}
	late := 10 * time.Millisecond
	if f.strike == freeze {
		late = ticket.Lifetime + time.Second
	}
	h2 := h
	time.AfterFunc(late, func() {
		if reading, refused := h2.current().Serve(context.Background(), request); refused == nil {
			reading.Close()
		}
	})
	strikeHost(f, h, afterSending)
}

// Void asks a host, unless the script loses the question.
func (l *link) Void(ctx context.Context, address string, t ticket.Ticket) (ledger.Stage, error) {
	l.mu.Lock()
	lost := l.voids
	l.voids = false
	l.mu.Unlock()
	if lost {
		return ledger.Absent, errLink
	}
	return l.hosts[address].current().Void(ctx, t)
}

func strikeHost(f fault, h *host, at point) {
	if f.point != at {
		return
	}
	switch f.strike {
	case killAgent:
		h.restart()
	case killTarget:
		h.engine.kill()
	}
}

// pipe is one answer on its way to an entry.
type pipe struct {
	ctx     context.Context
	call    serve.Call
	reading *agentserve.AnswerReader
	fault   fault
	host    *host
	broken  bool
	queue   []serve.Part
	parts   int
}

// Next returns the next part, or the fault that comes before it.
func (p *pipe) Next() (serve.Part, error) {
	if p.broken || p.ctx.Err() != nil {
		return serve.Part{}, errLink
	}
	if len(p.queue) > 0 {
		part := p.queue[0]
		p.queue = p.queue[1:]
		return part, nil
	}
	part, err := p.read()
	if err == nil && p.loses(part) {
		part, err = p.read()
	}
	if err != nil {
		return serve.Part{}, err
	}
	if p.strikes(part) {
		strikeHost(p.fault, p.host, p.fault.point)
		if p.fault.strike <= freeze {
			p.broken = true
			return serve.Part{}, errLink
		}
	}
	return p.disturb(part), nil
}

func (p *pipe) read() (serve.Part, error) {
	wait, cancel := context.WithTimeout(p.ctx, time.Second)
	defer cancel()
	got, err := p.reading.Next(wait)
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
	p.parts++
	return part, nil
}

func (p *pipe) strikes(part serve.Part) bool {
	return p.fault.point == halfRead && p.parts == 3 || p.fault.point == afterFinish && part.End != nil
}

func (p *pipe) loses(part serve.Part) bool {
	whole := len(answerTo(string(p.call.Body)))
	return p.fault.strike == lose && len(part.Data) > 0 && int(part.Offset)+len(part.Data) == whole
}

// disturb doubles parts or puts foreign ones between them.
func (p *pipe) disturb(part serve.Part) serve.Part {
	switch {
	case p.fault.strike == double && part.End == nil && part.Refusal == nil:
		p.queue = append(p.queue, part)
	case p.fault.strike == cross:
		foreign := serve.Part{ID: "foreign", Attempt: part.Attempt, Offset: part.Offset, Data: []byte("foreign bytes")}
		late := serve.Part{ID: part.ID, Attempt: part.Attempt + 1, End: &serve.End{}}
		p.queue = append(p.queue, late, part)
		return foreign
	}
	return part
}

// Close gives the answer up.
func (p *pipe) Close() {
	if p.reading != nil {
		p.reading.Close()
	}
}
