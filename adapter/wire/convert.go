package wire

import (
	"encoding/base64"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"hornbeamtray/core/entry"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/ticket"
)

const (
	maxTicketBytes = 1024
	maxIDBytes     = 64 // entry instances mint IDs of 36 bytes; agents keep those of their latest requests
)

// FromTicket converts a ticket to a message.
func FromTicket(t ticket.Ticket) *Ticket {
	return &Ticket{
		Id: t.ID, Account: t.Account, Service: t.Service, Call: t.Call,
		Target: t.Target, Incarnation: t.Incarnation, Expiry: t.Expiry.UnixMilli(),
	}
}

// ToTicket converts a message to a ticket.
func ToTicket(m *Ticket) ticket.Ticket {
	return ticket.New(m.GetId(), m.GetAccount(), m.GetService(), m.GetCall(), time.UnixMilli(m.GetExpiry())).
		WithTarget(m.GetTarget(), m.GetIncarnation())
}

// TicketText encodes a ticket as the text that callers receive and send back.
func TicketText(t ticket.Ticket) string {
	encoded, err := proto.Marshal(FromTicket(t))
	if err != nil {
		return "" // unreachable: Marshal fails only on invalid UTF-8, and a ticket's strings are valid
	}
	return base64.RawURLEncoding.EncodeToString(encoded)
}

// ParseTicket decodes the text of a ticket that a caller sent back.
func ParseTicket(text string) (ticket.Ticket, error) {
	if len(text) > maxTicketBytes {
		return ticket.Ticket{}, trace.LimitExceeded("the ticket is over %d bytes; send it as it was given", maxTicketBytes)
	}
	encoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return ticket.Ticket{}, trace.BadParameter("the ticket is not base64; send it as it was given")
	}
	m := &Ticket{}
	if err := proto.Unmarshal(encoded, m); err != nil {
		return ticket.Ticket{}, trace.BadParameter("the ticket can't be read; send it as it was given")
	}
	if m.GetId() == "" || m.GetTarget() == "" || m.GetIncarnation() == "" {
		return ticket.Ticket{}, trace.BadParameter("the ticket is not complete; fetch a new one")
	}
	if len(m.GetId()) > maxIDBytes {
		return ticket.Ticket{}, trace.LimitExceeded("the ticket's ID is over %d bytes; send the ticket as it was given", maxIDBytes)
	}
	return ToTicket(m), nil
}

// FromRefusal converts a refusal to a message; started is whether the run had
// started.
func FromRefusal(r refusal.Refusal, started bool) *Refusal {
	return &Refusal{
		Kind: string(r.Kind), Ran: string(r.Ran), Again: r.Retryable,
		After: r.RetryAfter.Milliseconds(), Remedy: r.Remedy, Started: started,
	}
}

// ToRefusal converts a message to a refusal. An unrecognized value of ran becomes
// refusal.Unknown.
func ToRefusal(m *Refusal) refusal.Refusal {
	r := refusal.New(refusal.Kind(m.GetKind()), refusal.Ran(m.GetRan()), m.GetRemedy())
	if r.Ran != refusal.No && r.Ran != refusal.Yes {
		r.Ran = refusal.Unknown
	}
	if m.GetAgain() {
		r = r.WithRetry(time.Duration(m.GetAfter()) * time.Millisecond)
	}
	return r
}

// FromReport converts an agent's report to a message.
func FromReport(r entry.Report) *Report {
	return &Report{
		Incarnation: r.Incarnation, Running: uint32(r.Running), Limit: uint32(r.Limit),
		Taking: r.Taking, Version: r.Version, Entries: uint32(r.Entries),
	}
}

// ToReport converts a message to an agent's report.
func ToReport(m *Report) entry.Report {
	return entry.Report{
		Incarnation: m.GetIncarnation(), Running: int(m.GetRunning()), Limit: int(m.GetLimit()),
		Taking: m.GetTaking(), Version: m.GetVersion(), Entries: int(m.GetEntries()),
	}
}
