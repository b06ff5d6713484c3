package front

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"hornbeamtray/adapter/ingress"
	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/ticket"
)

// RefusalBody is the JSON body of the response to a refused request.
type RefusalBody struct {
	Kind         string `json:"kind"`
	Ran          string `json:"ran"`               // "no", "yes" or "unknown"
	Retryable    bool   `json:"again"`             // a retry may succeed
	RetryAfterMS int64  `json:"after,omitempty"`   // minimum time to wait before a retry, in milliseconds
	Remedy       string `json:"remedy"`            // advice for the caller
	Request      string `json:"request,omitempty"` // ID of the request
	Ticket       string `json:"ticket,omitempty"`  // ticket to repeat the request with, if it is not known whether it ran
}

// TicketBody is the JSON body of the response to a request for a ticket.
type TicketBody struct {
	Request string    `json:"request"` // ID of the request that the ticket is for
	Ticket  string    `json:"ticket"`
	Expiry  time.Time `json:"expiry"`
}

var statusByKind = map[refusal.Kind]int{
	refusal.Key:       http.StatusUnauthorized,
	refusal.Malformed: http.StatusBadRequest,
	refusal.Oversized: http.StatusRequestEntityTooLarge,
	refusal.Stalled:   http.StatusRequestTimeout,
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

// refuse writes and counts a refusal. The body contains the ticket only if it is not
// known whether the request ran: a repeat with the ticket may then find out.
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
	writeJSON(w, statusCode(r), body)
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func (s *Server) bodyRefusal(err error) refusal.Refusal {
	switch {
	case errors.Is(err, ingress.ErrTooLarge):
		return refusal.New(refusal.Oversized, refusal.No, "send a body of at most "+strconv.FormatInt(s.maxBodyBytes, 10)+" bytes")
	case errors.Is(err, ingress.ErrMemory):
		return refusal.New(refusal.Busy, refusal.No, err.Error()).WithRetry(ingress.RetryAfter)
	case errors.Is(err, ingress.ErrStalled):
		return refusal.New(refusal.Stalled, refusal.No, err.Error()).WithRetry(0)
	}
	return refusal.New(refusal.Malformed, refusal.No, "the body could not be read; send it whole").WithRetry(0)
}

// statusCode returns the HTTP status of a refusal. 408, 429 and 503, which HTTP clients take
// for "not processed", are for requests that did not run.
func statusCode(r refusal.Refusal) int {
	status, found := statusByKind[r.Kind]
	promises := status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if !found || promises && r.Ran != refusal.No {
		return http.StatusBadGateway
	}
	return status
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
