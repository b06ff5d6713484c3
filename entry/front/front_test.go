package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"hornbeamtray/adapter/ingress"
	"hornbeamtray/core/refusal"
	"hornbeamtray/core/ticket"
	"hornbeamtray/entry/serve"
)

// fakeService writes the same parts and returns the same outcome for every request.
type fakeService struct {
	outcome serve.Outcome
	parts   []string
}

// Serve writes the parts and returns the outcome.
func (f fakeService) Serve(_ context.Context, _ serve.Request, out serve.Writer) serve.Outcome {
	if len(f.parts) > 0 {
		_ = out.WriteHead(ticket.Ticket{ID: "n"}, serve.Head{Status: http.StatusOK, ContentType: "text/plain"})
	}
	for _, part := range f.parts {
		_ = out.Write([]byte(part))
	}
	return f.outcome
}

// Mint returns a fixed ticket.
func (f fakeService) Mint(context.Context, serve.Request) (ticket.Ticket, *refusal.Refusal) {
	return ticket.Ticket{ID: "n"}, nil
}

type noMeter struct{}

// Inc does nothing.
func (noMeter) Inc(string, string) {}

const testMaxBodyBytes = 64

func serveOne(service Service, r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	newHandler(&Server{service: service, meter: noMeter{}, guard: ingress.New(), maxBodyBytes: testMaxBodyBytes}).ServeHTTP(w, r)
	return w
}

func TestRefusals(t *testing.T) {
	busy := refusal.New(refusal.Busy, refusal.No, "later").WithRetry(1500e6)
	cut := refusal.New(refusal.Cut, refusal.Unknown, "repeat")
	tests := []struct {
		name       string
		outcome    serve.Outcome
		method     string
		path       string
		ticket     string
		body       string
		wantStatus int
		want       RefusalBody
	}{
		{"busy", serve.Outcome{Refusal: &busy}, "POST", "/v1/services/orders/book", "", "{}", 503, RefusalBody{Kind: "busy", Ran: "no", Retryable: true, RetryAfterMS: 1500, Remedy: "later"}},
		{"unknown outcome, with ticket", serve.Outcome{Refusal: &cut, Ticket: ticket.Ticket{ID: "n", Expiry: time.UnixMilli(0)}}, "POST", "/v1/services/orders/book", "", "{}", 502, RefusalBody{Kind: "cut", Ran: "unknown", Remedy: "repeat", Request: "n", Ticket: "CgFu"}},
		{"unknown path", serve.Outcome{}, "POST", "/book", "", "{}", 400, RefusalBody{Kind: "malformed", Ran: "no", Remedy: "POST to /v1/services/SERVICE/CALL or /v1/tickets/SERVICE/CALL"}},
		{"method other than POST", serve.Outcome{}, "GET", "/v1/services/orders/book", "", "", 400, RefusalBody{Kind: "malformed", Ran: "no", Remedy: "POST to /v1/services/SERVICE/CALL or /v1/tickets/SERVICE/CALL"}},
		{"oversized body", serve.Outcome{}, "POST", "/v1/services/orders/book", "", strings.Repeat("x", testMaxBodyBytes+1), 413, RefusalBody{Kind: "oversized", Ran: "no", Remedy: "send a body of at most 64 bytes"}},
		{"oversized body, with ticket", serve.Outcome{}, "POST", "/v1/services/orders/book", "CgFhKgFiMgFj", strings.Repeat("x", testMaxBodyBytes+1), 413, RefusalBody{Kind: "oversized", Ran: "unknown", Remedy: "send a body of at most 64 bytes"}},
		{"invalid call name", serve.Outcome{}, "POST", "/v1/services/orders/Book", "", "{}", 400, RefusalBody{Kind: "malformed", Ran: "no", Remedy: "name the call in 1 to 63 lower-case letters, digits and hyphens"}},
		{"invalid ticket", serve.Outcome{}, "POST", "/v1/services/orders/book", "!", "{}", 400, RefusalBody{Kind: "malformed", Ran: "unknown", Remedy: "the ticket is not base64; send it as it was given"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body))
			if tt.ticket != "" {
				r.Header.Set(TicketHeader, tt.ticket)
			}
			w := serveOne(fakeService{outcome: tt.outcome}, r)
			var got RefusalBody
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if w.Code != tt.wantStatus || got != tt.want {
				t.Errorf("got status %d, body %+v; want status %d, body %+v", w.Code, got, tt.wantStatus, tt.want)
			}
		})
	}
}

// stalledBody is a body of which no byte arrives in time.
type stalledBody struct{}

// Read fails like a read after the deadline.
func (stalledBody) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// TestUnreadBodies checks the refusals of bodies that can't be read, and guards against a
// status that promises that a request with a ticket, which may have run before, never ran.
func TestUnreadBodies(t *testing.T) {
	tests := []struct {
		name   string
		body   io.Reader
		ticket string
		status int
		kind   string
		ran    string
	}{
		{"stalled", stalledBody{}, "", 408, "stalled", "no"},
		{"stalled, with ticket", stalledBody{}, "CgFhKgFiMgFj", 502, "stalled", "unknown"},
		{"no memory", strings.NewReader(strings.Repeat("x", 50_000)), "", 503, "busy", "no"},
		{"no memory, with ticket", strings.NewReader(strings.Repeat("x", 50_000)), "CgFhKgFiMgFj", 502, "busy", "unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest("POST", "/v1/services/orders/book", tt.body)
			if tt.ticket != "" {
				r.Header.Set(TicketHeader, tt.ticket)
			}
			w := httptest.NewRecorder()
			newHandler(&Server{service: fakeService{}, meter: noMeter{}, guard: ingress.New(ingress.WithMemory(1 << 15)), maxBodyBytes: 1 << 20}).ServeHTTP(w, r)
			var got RefusalBody
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil || w.Code != tt.status || got.Kind != tt.kind || got.Ran != tt.ran {
				t.Errorf("got status %d, body %+v, %v; want %d, %s, ran %s", w.Code, got, err, tt.status, tt.kind, tt.ran)
			}
		})
	}
}

// TestRefusedAlthoughItMayHaveRun guards against a status that says to any HTTP client that a
// request did not run, on the refusal of one that may have run.
func TestRefusedAlthoughItMayHaveRun(t *testing.T) {
	for _, kind := range []refusal.Kind{refusal.Limit, refusal.Busy, refusal.Closing, refusal.Leaving, refusal.Stalled} {
		for _, tt := range []struct {
			ran     refusal.Ran
			promise bool
		}{{refusal.No, true}, {refusal.Unknown, false}, {refusal.Yes, false}} {
			t.Run(string(kind)+" "+string(tt.ran), func(t *testing.T) {
				refused := refusal.New(kind, tt.ran, "later").WithRetry(time.Second)
				w := serveOne(fakeService{outcome: serve.Outcome{Refusal: &refused}}, httptest.NewRequest("POST", "/v1/services/orders/book", strings.NewReader("{}")))
				if promise := w.Code == http.StatusRequestTimeout || w.Code == http.StatusServiceUnavailable || w.Code == http.StatusTooManyRequests; promise != tt.promise {
					t.Errorf("status is %d, want 408, 429 or 503: %t", w.Code, tt.promise)
				}
			})
		}
	}
}

// TestCutAnswerIsNoWholeOne guards against a cut answer that looks whole to the caller.
// If a request fails after the head of its answer was sent, the server must cut the
// connection and send no length trailer.
func TestCutAnswerIsNoWholeOne(t *testing.T) {
	cut := refusal.New(refusal.Cut, refusal.Unknown, "repeat")
	tests := []struct {
		name        string
		outcome     serve.Outcome
		wantAborted bool
		wantLength  string
	}{
		{"whole", serve.Outcome{HeadSent: true}, false, "6"},
		{"cut", serve.Outcome{HeadSent: true, Refusal: &cut}, true, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			aborted := func() (aborted bool) {
				defer func() { aborted = recover() == http.ErrAbortHandler }()
				s := &Server{service: fakeService{outcome: tt.outcome, parts: []string{"abc", "def"}}, meter: noMeter{}, guard: ingress.New(), maxBodyBytes: testMaxBodyBytes}
				newHandler(s).ServeHTTP(w, httptest.NewRequest("POST", "/v1/services/orders/book", strings.NewReader("{}")))
				return false
			}()
			if got := w.Result().Trailer.Get(LengthTrailer); aborted != tt.wantAborted || got != tt.wantLength {
				t.Errorf("got aborted %t, length trailer %q; want aborted %t, length trailer %q", aborted, got, tt.wantAborted, tt.wantLength)
			}
		})
	}
}

// FuzzCaller sends arbitrary requests. The server must respond with status 200 or with
// a complete RefusalBody, and must not panic.
func FuzzCaller(f *testing.F) {
	f.Add("POST", "/v1/services/orders/book", "Bearer demo-key", "", "{}")
	f.Add("GET", "/", "", "nonsense", "")
	f.Add("POST", "/v1/tickets/orders/book", "Bearer", "AAAA", "{")
	f.Add("PUT", "/v1/services/%2e%2e/book", "Basic x", "CgFhKgFiMgFj", strings.Repeat("y", 100))
	f.Fuzz(func(t *testing.T, method, path, authorization, ticketText, body string) {
		r, err := http.NewRequest(method, "http://x", strings.NewReader(body))
		if err != nil {
			return
		}
		r.URL.Path = path
		r.Header.Set("Authorization", authorization)
		r.Header.Set(TicketHeader, ticketText)
		busy := refusal.New(refusal.Busy, refusal.No, "later")
		w := serveOne(fakeService{outcome: serve.Outcome{Refusal: &busy}}, r)
		if w.Code == http.StatusOK {
			return
		}
		var got RefusalBody
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil || got.Kind == "" || got.Ran == "" || got.Remedy == "" {
			t.Errorf("status %d: body %q is not a complete RefusalBody", w.Code, w.Body)
		}
	})
}
