// Package agents sends calls to the agents of targets over the connections of
// package wire. It converts calls to messages and makes no decisions.
package agents

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/gravitational/trace"

	"hornbeamtray/adapter/upstream"
	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/entry"
	"hornbeamtray/core/ledger"
	"hornbeamtray/core/ticket"
	"hornbeamtray/entry/serve"
)

// Agents implements serve.Agents and watch.Agents.
type Agents struct {
	name, domain   string
	reportInterval time.Duration // interval at which an agent reports while its state doesn't change
	client         *wire.Client
}

// New returns a client of agents for the entry instance with this name and failure
// domain. It asks agents to report at least twice per reportTimeout.
func New(name, domain string, reportTimeout time.Duration, client *wire.Client) *Agents {
	return &Agents{name: name, domain: domain, reportInterval: reportTimeout * 2 / 5, client: client}
}

// Serve sends a call and returns the stream of its answer. An error means that no
// byte of the call was sent.
func (g *Agents) Serve(ctx context.Context, address string, call serve.Call) (serve.Stream, error) {
	lease, err := g.client.Lease(ctx, address)
	if err != nil {
		return nil, err
	}
	pieces, err := lease.Agent().Serve(ctx, &wire.Request{
		Ticket:     wire.FromTicket(call.Ticket),
		Attempt:    uint32(call.Attempt),
		Idempotent: call.Idempotent,
		Remaining:  max(0, time.Until(call.Deadline)).Milliseconds(),
		Content:    call.ContentType,
		Body:       call.Body,
		Offset:     call.Offset,
	})
	if err != nil {
		// Part of the message may have been sent, so Serve must not return an error.
		lease.Return(false)
		return brokenStream{err}, nil
	}
	return &stream{lease: lease, pieces: pieces}, nil
}

// Void asks the agent to void the ticket and returns the stage of the ticket's
// request.
func (g *Agents) Void(ctx context.Context, address string, t ticket.Ticket) (ledger.Stage, error) {
	lease, err := g.client.Lease(ctx, address)
	if err != nil {
		return ledger.Absent, err
	}
	voided, err := lease.Agent().Void(ctx, wire.FromTicket(t))
	lease.Return(err == nil)
	if err != nil {
		return ledger.Absent, trace.ConnectionProblem(err, "the agent at %s did not answer", address)
	}
	return ledger.Stage(voided.GetStage()), nil
}

// Watch calls handle with each report of an agent until the connection fails or
// ctx ends.
func (g *Agents) Watch(ctx context.Context, address string, handle func(entry.Report)) error {
	lease, err := g.client.Lease(ctx, address)
	if err != nil {
		return err
	}
	defer lease.Return(false)
	reports, err := lease.Agent().Watch(ctx, &wire.Watcher{Entry: g.name, Domain: g.domain, Interval: g.reportInterval.Milliseconds()})
	if err != nil {
		return trace.ConnectionProblem(err, "the agent at %s can't be watched", address)
	}
	for {
		report, err := reports.Recv()
		if err != nil {
			return trace.ConnectionProblem(err, "the agent at %s stopped reporting", address)
		}
		handle(wire.ToReport(report))
	}
}

// stream is the stream of one answer.
type stream struct {
	lease    *wire.Lease
	pieces   wire.DRPCAgent_ServeClient
	reusable bool // the agent has ended the stream, so the connection can be used again
}

// Next waits for the next part and returns it. It returns an error for a head without a final
// status.
func (s *stream) Next() (serve.Part, error) {
	piece, err := s.pieces.Recv()
	if err != nil {
		return serve.Part{}, trace.ConnectionProblem(err, "the connection to the agent failed")
	}
	part := toPart(piece)
	if part.Head != nil && !upstream.IsFinal(part.Head.Status) {
		return serve.Part{}, trace.BadParameter("the agent passed on an answer with status %d", part.Head.Status)
	}
	if part.End != nil || part.Refusal != nil {
		_, err := s.pieces.Recv()
		s.reusable = errors.Is(err, io.EOF)
	}
	return part, nil
}

// Close returns the connection to the client.
func (s *stream) Close() {
	_ = s.pieces.Close()
	s.lease.Return(s.reusable)
}

// brokenStream is a stream whose connection failed while the call was being sent.
type brokenStream struct{ err error }

// Next returns the error.
func (b brokenStream) Next() (serve.Part, error) { return serve.Part{}, b.err }

// Close does nothing.
func (b brokenStream) Close() {}

func toPart(p *wire.Piece) serve.Part {
	part := serve.Part{ID: p.GetId(), Attempt: int(p.GetAttempt()), Offset: p.GetOffset(), Data: p.GetData()}
	if head := p.GetHead(); head != nil {
		part.Head = &serve.Head{Status: int(head.GetStatus()), ContentType: head.GetContent()}
	}
	if end := p.GetEnd(); end != nil {
		part.End = &serve.End{Length: end.GetLength(), Digest: end.GetDigest()}
	}
	if refused := p.GetRefusal(); refused != nil {
		r := wire.ToRefusal(refused)
		part.Refusal, part.RunStarted = &r, refused.GetStarted()
	}
	if report := p.GetReport(); report != nil {
		r := wire.ToReport(report)
		part.Report = &r
	}
	return part
}
