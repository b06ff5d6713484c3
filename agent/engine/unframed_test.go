package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"hornbeamtray/agent/engine"
	"hornbeamtray/agent/serve"
)

// TestUnframedAnswer guards against the part of an answer that a target sent before it
// crashed being taken for the whole, if only the end of the connection ends the answer.
func TestUnframedAnswer(t *testing.T) {
	tests := []struct {
		name    string
		fields  string
		crashes bool
		whole   bool
	}{
		{"the target runs", "", false, true},
		{"the target crashed", "", true, false},
		{"with a length, the target ended", "Content-Length: 5\r\n", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				if tt.crashes {
					listener.Close()
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+tt.fields+"\r\nhello")
				conn.Close()
			}()
			err = engine.New("http://"+listener.Addr().String()).Run(t.Context(), serve.Call{ID: "r", Name: "generate"}, &statusSink{})
			if (err == nil) != tt.whole {
				t.Errorf("error is %v, want none: %t", err, tt.whole)
			}
		})
	}
}
