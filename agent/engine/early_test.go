package engine_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hornbeamtray/adapter/upstream/upstreamtest"
	"hornbeamtray/agent/engine"
	"hornbeamtray/agent/serve"
)

// TestEarlyAnswers guards against an answer that is lost because the target sent it before it
// had read the whole of a long request, and reads no more of that.
func TestEarlyAnswers(t *testing.T) {
	const size = 24 << 10 // of an answer; fits in the buffer of a connection
	text := strings.Repeat("0123456789abcdef", size/16)
	tests := []struct {
		name   string
		answer string
		pause  time.Duration // of the reader
	}{
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 24576\r\n\r\n", 0},
		{"with a length, read slowly", "HTTP/1.1 200 OK\r\nContent-Length: 24576\r\n\r\n", 20 * time.Millisecond},
		{"without a length", "HTTP/1.1 200 OK\r\n\r\n", 0},
		{"without a length, read slowly", "HTTP/1.1 200 OK\r\n\r\n", 20 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := upstreamtest.NewServer(t, func(conn *net.TCPConn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, tt.answer+text)
				_ = conn.CloseWrite()
				time.Sleep(10 * time.Millisecond) // the answer arrives before the reset that follows
				return false
			})
			client := engine.New(server.URL())
			for range 20 {
				sink := slowSink{pause: tt.pause}
				err := client.Run(t.Context(), serve.Call{ID: "r", Name: "generate", Body: make([]byte, 4<<20)}, &sink)
				if err != nil || sink.head.Status != http.StatusOK || sink.body.Len() != size {
					t.Fatalf("error is %v after status %d and %d bytes, want the whole answer", err, sink.head.Status, sink.body.Len())
				}
			}
		})
	}
}
