package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hornbeamtray/agent/engine"
)

// quietObserver ignores the results of a probe.
type quietObserver struct{}

func (quietObserver) Reached(bool)             {}
func (quietObserver) Restarted(string)         {}
func (quietObserver) Loaded(string, time.Time) {}

// TestEndlessProbe guards against an agent that keeps all that a faulty target sends in
// answer to a probe.
func TestEndlessProbe(t *testing.T) {
	const maxBytes = 4 << 20 // the limits on head and body, in chunks of a byte, and the buffers of sockets
	tests := []struct{ name, prefix, repeated string }{
		{"a member", "HTTP/1.1 200 OK\r\n\r\n{\"boot\":\"", "x"},
		{"blanks", "HTTP/1.1 200 OK\r\n\r\n", " "},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{\"a\r\n", "1\r\nx\r\n"},
		{"a header", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"headers", "HTTP/1.1 200 OK\r\n", "X-Next: y\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			var written atomic.Int64
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				for text := tt.prefix; err == nil && written.Load() < 1<<30; text = strings.Repeat(tt.repeated, 4096) {
					var n int
					n, err = io.WriteString(conn, text)
					written.Add(int64(n))
				}
			}()
			probe := engine.NewProbe("http://"+listener.Addr().String(), quietObserver{})
			time.Sleep(400 * time.Millisecond)
			_ = probe.Close()
			if n := written.Load(); n > maxBytes {
				t.Errorf("the target sent %d bytes, want at most %d", n, maxBytes)
			}
		})
	}
}
