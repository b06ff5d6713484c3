// Package front serves callers over HTTP. It converts HTTP requests to requests of
// package serve, and answers and refusals to HTTP responses. It makes no decisions.
package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"goji.io"
	"goji.io/pat"

	"hornbeamtray/adapter/ingress"
	"hornbeamtray/adapter/socket"
	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/ticket"
	"hornbeamtray/entry/serve"
)

// Headers of HTTP requests and responses.
const (
	RequestHeader = "Tray-Request" // RequestHeader carries the request's ID in responses.
	TicketHeader  = "Tray-Ticket"  // TicketHeader carries the ticket in requests and responses.
	LengthTrailer = "Tray-Length"  // LengthTrailer follows a whole answer and carries its length in bytes.
)

// Service handles requests; serve.Service implements it.
type Service interface {
	Serve(ctx context.Context, r serve.Request, out serve.Writer) serve.Outcome
	Mint(ctx context.Context, r serve.Request) (ticket.Ticket, *refusal.Refusal)
}

// Meter counts answers and refusals.
type Meter interface {
	Inc(name, kind string)
}

// Server is an HTTP server for callers on one listener.
type Server struct {
	*socket.Server

	service      Service
	meter        Meter
	guard        *ingress.Guard
	ownGuard     bool // Close closes the guard
	maxBodyBytes int64
	stallTimeout time.Duration
}

// Option configures a Server.
type Option func(*Server)

// WithMaxBodyBytes bounds a request's body, in bytes. The default is 1 MiB.
func WithMaxBodyBytes(bytes int64) Option {
	return func(s *Server) { s.maxBodyBytes = bytes }
}

// WithStallTimeout bounds the time to receive a request's body, and the time for which
// a caller may read nothing of its answer. The default is 30 s.
func WithStallTimeout(timeout time.Duration) Option {
	return func(s *Server) { s.stallTimeout = timeout }
}

// WithGuard makes guard bound what callers may take, together with the process's other
// listeners. The default is a guard of its own.
func WithGuard(guard *ingress.Guard) Option {
	return func(s *Server) { s.guard = guard }
}

// New starts a server on listener. It serves until Drain or Close.
func New(listener net.Listener, service Service, meter Meter, options ...Option) *Server {
	s := &Server{service: service, meter: meter, maxBodyBytes: 1 << 20, stallTimeout: 30 * time.Second}
	for _, option := range options {
		option(s)
	}
	if s.guard == nil {
		s.guard, s.ownGuard = ingress.New(), true
	}
	s.Server = s.guard.Serve(listener, &http.Server{Handler: newHandler(s)}, ingress.WithRepeats())
	return s
}

// Close closes all connections, including those with requests in flight, and waits
// until the server has stopped.
func (s *Server) Close() error {
	err := s.Server.Close()
	if s.ownGuard {
		err = errors.Join(err, s.guard.Close())
	}
	return err
}

func newHandler(s *Server) http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/services/:service/:call"), s.serve)
	mux.HandleFunc(pat.Post("/v1/tickets/:service/:call"), s.mint)
	mux.HandleFunc(pat.New("/*"), s.refuseUnknownRoute)
	return rootPathHandler{next: mux, fallback: s.refuseUnknownRoute}
}

// rootPathHandler passes requests with a path that begins with "/" to next and others,
// such as "OPTIONS *", to fallback. The mux would answer the others itself.
type rootPathHandler struct {
	next     http.Handler
	fallback http.HandlerFunc
}

// ServeHTTP passes the request to the handler for its path.
func (h rootPathHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/") {
		h.fallback(w, r)
		return
	}
	h.next.ServeHTTP(w, r)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	request, release, refused := s.readRequest(w, r)
	defer release()
	if refused != nil {
		s.refuse(w, unreadRefusal(r, *refused), ticket.Ticket{})
		return
	}
	out := &answerWriter{response: w, control: http.NewResponseController(w), stallTimeout: s.stallTimeout}
	outcome := s.service.Serve(r.Context(), request, out)
	switch {
	case outcome.Refusal == nil:
		s.meter.Inc("answers", "whole")
		out.setLengthTrailer()
	case outcome.HeadSent:
		s.meter.Inc("answers", "cut")
		socket.Break(w, r)
	default:
		s.refuse(w, *outcome.Refusal, outcome.Ticket)
	}
}

// unreadRefusal returns the refusal of a request that could not be read. If the request
// has a ticket, ran is unknown, because an earlier request with it may have run.
func unreadRefusal(r *http.Request, refused refusal.Refusal) refusal.Refusal {
	if r.Header.Get(TicketHeader) != "" {
		return refused.WithRan(refusal.Unknown)
	}
	return refused
}

func (s *Server) mint(w http.ResponseWriter, r *http.Request) {
	request, release, refused := s.readRequest(w, r)
	defer release()
	if refused != nil {
		s.refuse(w, *refused, ticket.Ticket{})
		return
	}
	t, refused := s.service.Mint(r.Context(), request)
	if refused != nil {
		s.refuse(w, *refused, ticket.Ticket{})
		return
	}
	writeTicket(w, t)
}

func (s *Server) refuseUnknownRoute(w http.ResponseWriter, _ *http.Request) {
	s.refuse(w, refusal.New(refusal.Malformed, refusal.No, "POST to /v1/services/SERVICE/CALL or /v1/tickets/SERVICE/CALL"), ticket.Ticket{})
}

// readRequest reads a request. It refuses a request with an invalid call name or
// ticket, and one whose body is too large or can't be read within stallTimeout. The function
// that it returns, which is never nil, releases the memory of the request.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (serve.Request, func(), *refusal.Refusal) {
	request := serve.Request{
		Service: pat.Param(r, "service"), Call: pat.Param(r, "call"),
		ContentType: r.Header.Get("Content-Type"), KeyDigest: keyDigest(r.Header.Get("Authorization")),
	}
	if !isValidCall(request.Call) {
		refused := refusal.New(refusal.Malformed, refusal.No, "name the call in 1 to 63 lower-case letters, digits and hyphens")
		return request, func() {}, &refused
	}
	if text := r.Header.Get(TicketHeader); text != "" {
		t, err := wire.ParseTicket(text)
		if err != nil {
			refused := refusal.New(refusal.Malformed, refusal.No, trace.UserMessage(err))
			return request, func() {}, &refused
		}
		request.Ticket = &t
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.stallTimeout))
	body, release, err := s.guard.ReadBody(w, r, "", s.maxBodyBytes)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		refused := s.bodyRefusal(err)
		return request, release, &refused
	}
	request.Body = body
	return request, release, nil
}

// answerWriter writes one answer to a caller. It implements serve.Writer.
type answerWriter struct {
	response     http.ResponseWriter
	control      *http.ResponseController
	stallTimeout time.Duration
	length       uint64
}

// WriteHead sends the head of the answer.
func (a *answerWriter) WriteHead(t ticket.Ticket, head serve.Head) error {
	h := a.response.Header()
	h.Set("Content-Type", head.ContentType)
	h.Set(RequestHeader, t.ID)
	h.Set(TicketHeader, wire.TicketText(t))
	h.Set("Trailer", LengthTrailer)
	_ = a.control.SetWriteDeadline(time.Now().Add(a.stallTimeout))
	a.response.WriteHeader(head.Status)
	return trace.Wrap(a.control.Flush())
}

// Write sends a part of the answer without buffering it. It returns an error if the
// caller disconnected or read nothing for stallTimeout.
func (a *answerWriter) Write(p []byte) error {
	_ = a.control.SetWriteDeadline(time.Now().Add(a.stallTimeout))
	if _, err := a.response.Write(p); err != nil {
		return trace.ConnectionProblem(err, "the caller disconnected or stopped reading")
	}
	a.length += uint64(len(p))
	return trace.Wrap(a.control.Flush())
}

// setLengthTrailer marks the answer as whole.
func (a *answerWriter) setLengthTrailer() {
	a.response.Header().Set(LengthTrailer, strconv.FormatUint(a.length, 10))
}

// keyDigest returns the SHA-256 digest, in hexadecimal, of the key in an Authorization
// header. It returns "" if the header has no bearer key.
func keyDigest(authorization string) string {
	key, found := strings.CutPrefix(authorization, "Bearer ")
	if !found {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func isValidCall(name string) bool {
	return len(name) > 0 && len(name) <= 63 && strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}
