package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"hornbeamtray/agent/engine"
	"hornbeamtray/agent/serve"
)

// idleConns are the connections to a target that carry no request.
type idleConns struct {
	listener net.Listener
	closes   bool // the target closes the first at once

	mu    sync.Mutex
	conns []net.Conn // guarded by mu
}

func (i *idleConns) run() {
	for {
		conn, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		i.conns = append(i.conns, conn)
		first := len(i.conns) == 1
		i.mu.Unlock()
		if i.closes && first {
			conn.Close()
		}
	}
}

func (i *idleConns) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, conn := range i.conns {
		conn.Close()
	}
	i.conns = nil
}

// TestUnframedAnswer guards against the part of an answer that a target sent before it
// crashed being taken for the whole, if only the end of the connection ends the answer. Another
// process may run at its address by then.
func TestUnframedAnswer(t *testing.T) {
	tests := []struct {
		name      string
		fields    string
		crashes   bool
		restarted bool          // another process accepts connections
		closes    bool          // the first connection that carries no request
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
				idle := &idleConns{listener: listener, closes: tt.closes}
				go idle.run()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+tt.fields+"\r\nhe")
				time.Sleep(500 * time.Millisecond)
				_, _ = io.WriteString(conn, "llo")
				if tt.crashes && !tt.restarted {
					listener.Close()
				}
				if tt.crashes {
					idle.close()
				}
				conn.Close()
			}()
			err = engine.New("http://"+listener.Addr().String()).Run(t.Context(), serve.Call{ID: "r", Name: "generate"}, &slowSink{pause: tt.pause})
			if (err == nil) != tt.whole {
				t.Errorf("error is %v, want none: %t", err, tt.whole)
			}
		})
	}
}
