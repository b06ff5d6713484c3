package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/ticket"
)

// RefusalBody is the body of a refusal.
type RefusalBody struct {
	Kind         string `json:"kind"`
	Ran          string `json:"ran"`               // "no", "yes" or "unknown"
	Retryable    bool   `json:"again"`             // trying again can help
	RetryAfterMS int64  `json:"after,omitempty"`   // milliseconds to wait first
	Remedy       string `json:"remedy"`            // what to do
	Request      string `json:"request,omitempty"` // the request's number
	Ticket       string `json:"ticket,omitempty"`  // to repeat the request where the outcome is not known
}

// TicketBody is the body that answers a request for a ticket.
type TicketBody struct {
	Request string    `json:"request"`
	Ticket  string    `json:"ticket"`
	Expiry  time.Time `json:"expiry"`
}

var statusByKind = map[refusal.Kind]int{
	refusal.Key:       http.StatusUnauthorized,
	refusal.Malformed: http.StatusBadRequest,
	refusal.Oversized: http.StatusRequestEntityTooLarge,
	refusal.Service:   http.StatusNotFound,
	refusal.Limit:     http.StatusTooManyRequests,
	refusal.Busy:      http.StatusServiceUnavailable,
	refusal.Closing:   http.StatusServiceUnavailable,
	refusal.Leaving:   http.StatusServiceUnavailable,
	refusal.Expired:   http.StatusGone,
	refusal.Gone:      http.StatusGone,
	refusal.Voided:    http.StatusConflict,
	refusal.Conflict:  http.StatusConflict,
	refusal.Deadline:  http.StatusGatewayTimeout,
	refusal.Cut:       http.StatusBadGateway,
	refusal.Failed:    http.StatusBadGateway,
}

// refuse writes a refusal. The ticket goes along only where a repeat under it
// can tell more.
func (s *Server) refuse(w http.ResponseWriter, r refusal.Refusal, t ticket.Ticket) {
	s.meter.Inc("refusals", string(r.Kind))
	body := RefusalBody{
		Kind: string(r.Kind), Ran: string(r.Ran), Retryable: r.Retryable,
		RetryAfterMS: r.RetryAfter.Milliseconds(), Remedy: r.Remedy, Request: t.ID,
	}
	if t.ID != "" {
		w.Header().Set(RequestHeader, t.ID)
	}
	if t.ID != "" && r.Ran == refusal.Unknown {
		body.Ticket = wire.TicketText(t)
	}
	if r.Retryable {
		w.Header().Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	status, found := statusByKind[r.Kind]
	if !found {
		status = http.StatusBadGateway
	}
	writeJSON(w, status, body)
}

func writeTicket(w http.ResponseWriter, t ticket.Ticket) {
	w.Header().Set(RequestHeader, t.ID)
	writeJSON(w, http.StatusOK, TicketBody{Request: t.ID, Ticket: wire.TicketText(t), Expiry: t.Expiry.UTC()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
