package engine_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"hornbeamtray/adapter/upstream/upstreamtest"
	"hornbeamtray/agent/engine"
	"hornbeamtray/agent/serve"
)

// TestUnframedAnswer guards against the part of an answer that a target sent before it
// crashed being taken for the whole, if only the end of the connection ends the answer. Another
// process may run at its address by then.
func TestUnframedAnswer(t *testing.T) {
	tests := []struct {
		name      string
		fields    string
		crashes   bool
		restarted bool          // another process accepts connections
		closes    bool          // the connection that carries no request
		pause     time.Duration // before each part of the answer is read
		whole     bool
	}{
		{"the target runs", "", false, false, false, 0, true},
		{"the target crashed", "", true, false, false, 0, false},
		{"the target crashed, another process runs", "", true, true, false, 0, false},
		{"the target runs and closes idle connections", "", false, false, true, 0, true},
		{"the target crashed after it closed an idle connection, another process runs", "", true, true, true, 0, false},
		{"the target crashed while its answer was read, another process runs", "", true, true, false, 400 * time.Millisecond, false},
		{"the target closes idle connections while its answer is read", "", false, false, true, 400 * time.Millisecond, true},
		{"with a length, the target ended", "Content-Length: 5\r\n", true, false, false, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var target *upstreamtest.Server
			target = upstreamtest.NewServer(t, func(conn *net.TCPConn, _ *http.Request, _ int) bool {
				if tt.closes {
					time.Sleep(50 * time.Millisecond) // until the connection without a request is accepted
					target.CloseOthers(conn)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+tt.fields+"\r\nhe")
				time.Sleep(500 * time.Millisecond)
				_, _ = io.WriteString(conn, "llo")
				if tt.crashes && !tt.restarted {
					target.Refuse()
				}
				if tt.crashes {
					target.CloseOthers(conn)
				}
				return false
			})
			err := engine.New(target.URL()).Run(t.Context(), serve.Call{ID: "r", Name: "generate"}, &slowSink{pause: tt.pause})
			if (err == nil) != tt.whole {
				t.Errorf("error is %v, want none: %t", err, tt.whole)
			}
		})
	}
}
