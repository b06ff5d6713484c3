package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestEndlessHeads guards against a faulty source of configurations whose response has a head
// without end: the process would read megabytes of short header lines.
func TestEndlessHeads(t *testing.T) {
	const maxBytes = 1 << 20 // the limit on the head, and the buffers of sockets
	tests := []struct{ name, prefix, repeated string }{
		{"a header", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"headers", "HTTP/1.1 200 OK\r\n", "X-Next: y\r\n"},
		{"interim heads", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
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
				for text := tt.prefix; err == nil && written.Load() < 1<<30; text = strings.Repeat(tt.repeated, 1024) {
					var n int
					n, err = io.WriteString(conn, text)
					written.Add(int64(n))
				}
			}()
			client := newClient(nil)
			client.Timeout = 2 * time.Second
			if response, err := client.Get("http://" + listener.Addr().String()); err == nil {
				response.Body.Close()
				t.Errorf("the response was accepted with status %s", response.Status)
			}
			if n := written.Load(); n > maxBytes {
				t.Errorf("the source sent %d bytes, want at most %d", n, maxBytes)
			}
		})
	}
}
