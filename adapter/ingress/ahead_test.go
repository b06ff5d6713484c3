package ingress

import (
	"strings"
	"testing"
	"time"
)

// TestConnectionAhead guards against a caller that opens a connection ahead of its first request
// and loses it once the time for a head is over, though no byte of a head has come.
func TestConnectionAhead(t *testing.T) {
	tests := []struct {
		name  string
		begin string // sent at once
		rest  string // sent after the time for a head
		want  string
	}{
		{"no byte of a head", "", getRequest, "200 GET / "},
		{"a part of a head", "GET / HTTP/1.1\r\n", "Host: h\r\n\r\n", "408 "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g := New()
			g.SetLimits(Limits{HeadTimeout: time.Millisecond, IdleTimeout: 20 * time.Second})
			raw := dial(t, serveEcho(t, g, nil))
			sendPieces(raw, tt.begin, 1<<20)
			time.Sleep(headTimeoutMargin + 3*lateReadTimeout)
			sendPieces(raw, tt.rest, 1<<20)
			if got := answers(t, raw, "GET", 1); !strings.HasPrefix(got[0], tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
