// Package probe serves a process's health, readiness, metrics, state and audit
// trail over HTTP to operators and the platform's load balancer, and configurations
// to peers. No request changes the process.
package probe

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"goji.io"
	"goji.io/pat"

	"hornbeamtray/adapter/ingress"
	"hornbeamtray/adapter/platform"
	"hornbeamtray/adapter/socket"
	"hornbeamtray/core/trail"
)

const shutdownTimeout = 100 * time.Millisecond

// Source provides what a Server shows of its process.
type Source interface {
	// Ready reports whether the process can do its work.
	Ready() bool
	// Show returns the state of the process as a value to encode as JSON.
	Show() any
	// Trail returns the audit trail.
	Trail() trail.Trail
}

// Server serves one Source.
type Server struct {
	server   *socket.Server
	guard    *ingress.Guard
	ownGuard bool // Close closes the guard
	mux      *goji.Mux
}

// Option configures a Server.
type Option func(*Server)

// WithHandler adds a handler for the requests that match pattern.
func WithHandler(pattern goji.Pattern, handler http.Handler) Option {
	return func(s *Server) { s.mux.Handle(pattern, handler) }
}

// WithRelay serves configurations to peers through relay.
func WithRelay(relay http.Handler) Option {
	return WithHandler(pat.Get(platform.ConfigurationPath), relay)
}

// WithGuard makes guard bound what callers may take, together with the process's other
// listeners. The default is a guard of its own.
func WithGuard(guard *ingress.Guard) Option {
	return func(s *Server) { s.guard = guard }
}

// New starts a server that serves source and metrics on listener until Close.
func New(listener net.Listener, source Source, metrics http.Handler, options ...Option) *Server {
	s := &Server{mux: goji.NewMux()}
	for _, option := range options {
		option(s)
	}
	if s.guard == nil {
		s.guard, s.ownGuard = ingress.New(), true
	}
	s.mux.HandleFunc(pat.Get("/live"), live)
	s.mux.Handle(pat.Get("/ready"), ready{source})
	s.mux.Handle(pat.Get("/metrics"), metrics)
	s.mux.Handle(pat.Get("/show"), show{source})
	s.mux.Handle(pat.Get("/trail"), changes{source})
	s.server = s.guard.Serve(listener, &http.Server{Handler: s.mux}, ingress.ForProbes())
	return s
}

// Close stops accepting requests, waits up to shutdownTimeout for those in flight
// and then closes their connections.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.server.Drain(ctx)
	err := s.server.Close() // ends the long polls of peers
	if s.ownGuard {
		err = errors.Join(err, s.guard.Close())
	}
	return err
}

func live(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("live\n"))
}

type ready struct{ source Source }

// ServeHTTP responds with 200 if the process can do its work, and 503 otherwise.
func (h ready) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !h.source.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

type show struct{ source Source }

// ServeHTTP writes the state of the process as JSON.
func (h show) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, h.source.Show())
}

// Change is one entry of the audit trail in the form shown to operators.
type Change struct {
	Sequence uint64    `json:"sequence"`
	Time     time.Time `json:"time"`
	Subject  string    `json:"subject"`
	Cause    string    `json:"cause"`
	Before   string    `json:"before"`
	After    string    `json:"after"`
}

type changes struct{ source Source }

// ServeHTTP writes the audit trail as JSON, oldest change first.
func (h changes) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	list := []Change{}
	for _, c := range h.source.Trail().Changes() {
		list = append(list, Change{Sequence: c.Sequence, Time: c.Time, Subject: c.Subject, Cause: c.Cause, Before: c.Before, After: c.After})
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
