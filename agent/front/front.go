// Package front serves entry instances. It converts their messages into requests,
// and answers into messages, and makes no decisions.
package front

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"hornbeamtray/adapter/wire"
	"hornbeamtray/agent/answer"
	"hornbeamtray/agent/serve"
	"hornbeamtray/core/entry"
	"hornbeamtray/core/ledger"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/target"
	"hornbeamtray/core/ticket"
)

const (
	heartbeatInterval = time.Second
	minReportInterval = 100 * time.Millisecond
	maxReportInterval = 10 * time.Second
)

// Service handles the decoded requests.
type Service interface {
	Serve(ctx context.Context, r serve.Request) (*serve.AnswerReader, *refusal.Refusal)
	Void(ctx context.Context, t ticket.Ticket) (ledger.Stage, error)
	Report() (entry.Report, <-chan struct{})
	AddWatcher(domain string) func()
}

// Front implements wire.DRPCAgentServer.
type Front struct {
	service Service
}

// New returns a Front that passes requests to service.
func New(service Service) *Front {
	return &Front{service: service}
}

// Serve runs a request and sends its answer. It sends an empty piece as a
// heartbeat whenever no part arrives for heartbeatInterval.
func (f *Front) Serve(m *wire.Request, stream wire.DRPCAgent_ServeStream) error {
	reader, refused := f.service.Serve(stream.Context(), toRequest(m))
	if refused != nil {
		return send(stream, m, &wire.Piece{Refusal: wire.FromRefusal(*refused, false), Report: f.report()})
	}
	defer reader.Close()
	for {
		part, err := nextPart(stream.Context(), reader)
		switch {
		case errors.Is(err, context.DeadlineExceeded) && stream.Context().Err() == nil:
			err = send(stream, m, &wire.Piece{})
		case err == nil:
			err = send(stream, m, f.toPiece(part))
		}
		if err != nil {
			return trace.Wrap(err)
		}
		if part.End != nil || part.Refusal != nil {
			return nil
		}
	}
}

// Void voids a ticket if its request has not started, and returns the request's stage.
func (f *Front) Void(ctx context.Context, m *wire.Ticket) (*wire.Voided, error) {
	stage, err := f.service.Void(ctx, wire.ToTicket(m))
	if err != nil {
		return nil, err
	}
	return &wire.Voided{Stage: uint32(stage)}, nil
}

// Watch sends a report at each change and at the interval that the entry instance
// requested, within minReportInterval and maxReportInterval, until it disconnects.
func (f *Front) Watch(watcher *wire.Watcher, stream wire.DRPCAgent_WatchStream) error {
	defer f.service.AddWatcher(watcher.GetDomain())()
	interval := time.Duration(watcher.GetInterval()) * time.Millisecond
	ticker := time.NewTicker(min(maxReportInterval, max(minReportInterval, interval)))
	defer ticker.Stop()
	for {
		report, changed := f.service.Report()
		if err := stream.Send(wire.FromReport(report)); err != nil {
			return trace.Wrap(err)
		}
		select {
		case <-ticker.C:
		case <-changed:
		case <-stream.Context().Done():
			return nil
		}
	}
}

func nextPart(ctx context.Context, reader *serve.AnswerReader) (answer.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	return reader.Next(ctx)
}

// send sends a piece with the request's ID and attempt, so that the entry instance
// can detect a piece of another request or attempt.
func send(stream wire.DRPCAgent_ServeStream, m *wire.Request, piece *wire.Piece) error {
	piece.Id, piece.Attempt = m.GetTicket().GetId(), m.GetAttempt()
	return stream.Send(piece)
}

func (f *Front) report() *wire.Report {
	report, _ := f.service.Report()
	return wire.FromReport(report)
}

func (f *Front) toPiece(part answer.Part) *wire.Piece {
	piece := &wire.Piece{Offset: part.Offset, Data: part.Data}
	if part.Head != nil {
		piece.Head = &wire.Head{Status: uint32(part.Head.Status), Content: part.Head.ContentType}
	}
	if part.End != nil {
		piece.End = &wire.End{Length: part.End.Length, Digest: part.End.Digest}
		piece.Report = f.report()
	}
	if part.Refusal != nil {
		piece.Refusal = wire.FromRefusal(*part.Refusal, true)
		piece.Report = f.report()
	}
	return piece
}

func toRequest(m *wire.Request) serve.Request {
	t := wire.ToTicket(m.GetTicket())
	return serve.Request{
		Request:     target.Request{Ticket: t, Digest: digest(t.Call, m), Idempotent: m.GetIdempotent()},
		Attempt:     int(m.GetAttempt()),
		Remaining:   time.Duration(m.GetRemaining()) * time.Millisecond,
		ContentType: m.GetContent(),
		Body:        m.GetBody(),
		Offset:      m.GetOffset(),
	}
}

// digest returns the digest by which the ledger detects that a ticket is used with
// another request.
func digest(call string, m *wire.Request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(call)
	_, _ = d.WriteString("\x00" + m.GetContent() + "\x00")
	_, _ = d.Write(m.GetBody())
	return d.Sum64()
}
