package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"hornbeamtray/agent/answer"
	"hornbeamtray/agent/engine"
	"hornbeamtray/agent/serve"
)

// startTarget starts a target that reads the head of each request and passes its connection to
// answer. It returns the target's URL.
func startTarget(t *testing.T, answer func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// slowSink is a serve.Sink that keeps an answer, and takes a pause before each part of it.
type slowSink struct {
	head  answer.Head
	body  bytes.Buffer
	pause time.Duration
}

func (s *slowSink) Begin(head answer.Head) { s.head = head }

func (s *slowSink) Write(_ context.Context, p []byte) error {
	time.Sleep(s.pause)
	_, _ = s.body.Write(p)
	return nil
}

// TestBrokenAnswers guards against bytes of a target that are no whole answer and are taken for
// one. Nothing is known then of the run.
func TestBrokenAnswers(t *testing.T) {
	reset := func(text string) func(*net.TCPConn) {
		return func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, text)
			time.Sleep(10 * time.Millisecond)
			_ = conn.SetLinger(0)
		}
	}
	text := func(text string) func(*net.TCPConn) {
		return func(conn *net.TCPConn) { _, _ = io.WriteString(conn, text) }
	}
	tests := []struct {
		name   string
		answer func(*net.TCPConn)
		body   int // bytes of the request
	}{
		{"reset while a long request is written", reset("HTTP/1.1 200 OK\r\n\r\nhello"), 4 << 20},
		{"reset", reset("HTTP/1.1 200 OK\r\n\r\nhello"), 0},
		{"status 000", text("HTTP/1.1 000 x\r\nContent-Length: 5\r\n\r\nhello"), 0},
		{"status 101", text("HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nhello"), 0},
		{"status 600", text("HTTP/1.1 600 x\r\nContent-Length: 5\r\n\r\nhello"), 0},
		{"a later version", text("HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nhello"), 0},
		{"a blank within a name", text("HTTP/1.1 200 OK\r\nX Other: y\r\nContent-Length: 5\r\n\r\nhello"), 0},
		{"a blank after the name of the length", text("HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello, more"), 0},
		{"a blank before the name of the length", text("HTTP/1.1 200 OK\r\nX-Other: y\r\n Content-Length: 5\r\n\r\nhello, more"), 0},
		{"a blank after the name of the encoding", text("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"), 0},
		{"status 000 after an interim response", text("HTTP/1.1 103 x\r\n\r\nHTTP/1.1 000 x\r\nContent-Length: 5\r\n\r\nhello"), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := engine.New(startTarget(t, tt.answer))
			for range 20 {
				var sink slowSink
				err := client.Run(t.Context(), serve.Call{ID: "r", Name: "generate", Body: make([]byte, tt.body)}, &sink)
				if err == nil || errors.Is(err, serve.ErrNotSent) {
					t.Fatalf("error is %v after status %d and %q, want one that says that the call may have run", err, sink.head.Status, sink.body.String())
				}
			}
		})
	}
}
