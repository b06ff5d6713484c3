package engine_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hornbeamtray/adapter/upstream/upstreamtest"
	"hornbeamtray/agent/answer"
	"hornbeamtray/agent/engine"
	"hornbeamtray/agent/serve"
	"hornbeamtray/core/order"
)

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
	reset := func(conn *net.TCPConn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhello")
		time.Sleep(10 * time.Millisecond) // the text arrives before the reset
		upstreamtest.Reset(conn)
		return false
	}
	text := upstreamtest.Text
	tests := []struct {
		name   string
		answer upstreamtest.Handler
		body   int // bytes of the request
	}{
		{"reset while a long request is written", reset, 4 << 20},
		{"reset", reset, 0},
		{"status 000", text("HTTP/1.1 000 x\r\nContent-Length: 5\r\n\r\nhello"), 0},
		{"status 101", text("HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nhello"), 0},
		{"status 600", text("HTTP/1.1 600 x\r\nContent-Length: 5\r\n\r\nhello"), 0},
		{"a later version", text("HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nhello"), 0},
		{"a blank within a name", text("HTTP/1.1 200 OK\r\nX Other: y\r\nContent-Length: 5\r\n\r\nhello"), 0},
		{"a blank after the name of the length", text("HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello, more"), 0},
		{"a blank before the name of the length", text("HTTP/1.1 200 OK\r\nX-Other: y\r\n Content-Length: 5\r\n\r\nhello, more"), 0},
		{"a blank after the name of the encoding", text("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"), 0},
		{"an encoding that HTTP/1.0 lacks", text("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"), 0},
		{"status 000 after an interim response", text("HTTP/1.1 103 x\r\n\r\nHTTP/1.1 000 x\r\nContent-Length: 5\r\n\r\nhello"), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := engine.New(upstreamtest.NewServer(t, tt.answer).URL())
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

// probeRecorder is an engine.Observer that records what a probe reports.
type probeRecorder struct {
	reached   chan bool
	restarted chan string
}

func (p probeRecorder) Reached(reached bool)     { p.reached <- reached }
func (p probeRecorder) Restarted(cause string)   { p.restarted <- cause }
func (p probeRecorder) Loaded(string, time.Time) {}

// TestBrokenAnswersToProbes guards against an answer that broke off and is taken for that of
// another process: the limit of the target would fall to that of a cold one.
func TestBrokenAnswersToProbes(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" + `{"boot":"a"}`
	tests := []struct {
		name, text string
		reached    bool
	}{
		{"whole", whole, true},
		{"of a target that reports nothing", "HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\nnot found", true},
		{"without a body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
		{"of another type", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[{}]", true},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + `{"boot":"` + strings.Repeat("a", 99999-11) + `"}`, true},
		{"closed within a body with a length", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 12\r\n\r\n" + `{"bo`, false},
		{"closed before a body with a length", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 12\r\n\r\n", false},
		{"closed within a body in chunks", "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"bo", false},
		{"status 000", "HTTP/1.1 000 x\r\nContent-Length: 12\r\n\r\n" + `{"boot":"a"}`, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var answered atomic.Bool // the first probe
			server := upstreamtest.NewServer(t, func(conn *net.TCPConn, _ *http.Request, _ int) bool {
				text := tt.text
				if answered.CompareAndSwap(false, true) {
					text = strings.Replace(whole, "\r\n", "\r\nConnection: close\r\n", 1)
				}
				_, _ = io.WriteString(conn, text)
				return false
			})
			recorder := probeRecorder{reached: make(chan bool, 9), restarted: make(chan string, 9)}
			probe := engine.NewProbe(server.URL(), recorder)
			defer probe.Close()
			if !<-recorder.reached {
				t.Fatal("the first probe did not reach the target")
			}
			if got := <-recorder.reached; got != tt.reached {
				t.Errorf("reached is %t, want %t", got, tt.reached)
			}
			if !tt.reached && len(recorder.restarted) > 0 {
				t.Errorf("a broken answer was taken for a restart: %s", <-recorder.restarted)
			}
		})
	}
}

// TestBrokenAnswersToOrders guards against an order that counts as carried out though its answer
// broke off.
func TestBrokenAnswersToOrders(t *testing.T) {
	tests := []struct {
		name, text string
		whole      bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true},
		{"closed within a body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", false},
		{"closed within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", false},
		{"status 000", "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := upstreamtest.NewServer(t, upstreamtest.Text(tt.text))
			if err := engine.New(server.URL()).Order(t.Context(), order.Order{Load: "m"}); (err == nil) != tt.whole {
				t.Errorf("error is %v, want none: %t", err, tt.whole)
			}
		})
	}
}
