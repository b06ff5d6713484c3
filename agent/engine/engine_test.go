package engine_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"hornbeamtray/agent/answer"
	"hornbeamtray/agent/engine"
	"hornbeamtray/agent/serve"
)

// statusSink is a serve.Sink that records only the status of the answer.
type statusSink struct{ status int }

func (s *statusSink) Begin(head answer.Head) { s.status = head.Status }

func (s *statusSink) Write(context.Context, []byte) error { return nil }

// TestSlowToAccept calls a target whose accept queue stays full for more than a
// second, as can happen when the target is busy. The call must succeed.
func TestSlowToAccept(t *testing.T) {
	listener := listenShortBacklog(t)
	defer listener.Close()
	var queued []net.Conn
	for range 8 {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
		if err != nil {
			break
		}
		queued = append(queued, conn)
	}
	defer func() {
		for _, conn := range queued {
			_ = conn.Close()
		}
	}()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "x")
	}), ReadHeaderTimeout: time.Minute}
	defer server.Close()
	accepting := time.AfterFunc(1500*time.Millisecond, func() { _ = server.Serve(listener) })
	defer accepting.Stop()
	var sink statusSink
	err := engine.New("http://"+listener.Addr().String()).Run(t.Context(), serve.Call{ID: "r", Name: "generate"}, &sink)
	if err != nil || sink.status != http.StatusOK {
		t.Errorf("status is %d, error %v; want status 200", sink.status, err)
	}
}

// TestConnectionRefused calls a target that no longer listens. The call must fail
// within a second.
func TestConnectionRefused(t *testing.T) {
	listener := listenShortBacklog(t)
	address := listener.Addr().String()
	_ = listener.Close()
	start := time.Now()
	err := engine.New("http://"+address).Run(t.Context(), serve.Call{ID: "r", Name: "generate"}, &statusSink{})
	if took := time.Since(start); err == nil || took > time.Second {
		t.Errorf("error is %v after %s, want an error within 1s", err, took)
	}
}

// listenShortBacklog returns a listener with room for one connection in its accept queue.
func listenShortBacklog(t *testing.T) net.Listener {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(socket), "listener")
	defer file.Close()
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(socket, 0); err != nil {
		t.Fatal(err)
	}
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}
