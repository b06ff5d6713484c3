package engine_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"hornbeamtray/agent/engine"
	"hornbeamtray/agent/serve"
)

// TestRefusedAfterRedirect guards against a call that is called not sent, or is sent twice,
// since the target answered it with a redirect: that is its answer.
func TestRefusedAfterRedirect(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	tests := []struct {
		name   string
		status int
		to     string // empty for the target itself
	}{
		{"301 to itself", 301, ""},
		{"302 to a closed port", 302, "http://" + closed.Addr().String() + "/"},
		{"303 to itself", 303, ""},
		{"307 to a closed port", 307, "http://" + closed.Addr().String() + "/"},
		{"308 to itself", 308, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var requests atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) > 1 {
					return
				}
				to := tt.to
				if to == "" {
					to = r.URL.Path
				}
				http.Redirect(w, r, to, tt.status)
			}))
			defer server.Close()
			var sink statusSink
			err := engine.New(server.URL).Run(t.Context(), serve.Call{ID: "r", Name: "book", Body: []byte("{}")}, &sink)
			if errors.Is(err, serve.ErrNotSent) || err != nil {
				t.Errorf("error is %v; want none, and never ErrNotSent for a call that was sent", err)
			}
			if sink.status != tt.status || requests.Load() != 1 {
				t.Errorf("status is %d after %d requests, want %d after 1", sink.status, requests.Load(), tt.status)
			}
		})
	}
}
