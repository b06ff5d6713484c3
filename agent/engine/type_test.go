package engine_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hornbeamtray/agent/engine"
	"hornbeamtray/agent/serve"
)

// TestLongContentType guards against kept answers whose heads take more memory than the agent
// reserves for answers: the Content-Type of a faulty target may have the size of a head.
func TestLongContentType(t *testing.T) {
	tests := []struct {
		bytes int
		valid bool
	}{{0, true}, {1024, true}, {1025, false}, {60_000, false}}
	for _, tt := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", strings.Repeat("x", tt.bytes))
		}))
		var sink statusSink
		err := engine.New(server.URL).Run(t.Context(), serve.Call{ID: "r", Name: "generate"}, &sink)
		server.Close()
		if (err == nil) != tt.valid || (sink.status != 0) != tt.valid || errors.Is(err, serve.ErrNotSent) {
			t.Errorf("%d bytes: status %d and error %v, want an answer: %t", tt.bytes, sink.status, err, tt.valid)
		}
	}
}
