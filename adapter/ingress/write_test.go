package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestUnreadResponses guards against callers that send requests, read no responses and so keep
// connections for ever, which are then missing to others.
func TestUnreadResponses(t *testing.T) {
	g := New()
	g.writeTimeout = 300 * time.Millisecond
	raw := dial(t, serveEcho(t, g, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 1<<16))
	})))
	sender := &sender{raw: raw, text: strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1000), size: 1 << 20, done: make(chan struct{})}
	go sender.run()
	waitFor(t, "a request starts", func() bool { return g.started() == 1 })
	waitFor(t, "the connection ends", func() bool { _, open := g.inUse(); return open == 0 })
	_ = raw.Close()
	<-sender.done
}

// TestSlowReader guards against a response that is cut off although its caller reads it, only
// slower than the server writes it.
func TestSlowReader(t *testing.T) {
	g := New()
	g.writeTimeout = time.Second
	near, far := net.Pipe()
	defer near.Close()
	l := newPipeListener()
	want := bytes.Repeat([]byte("x"), 6*writePieceBytes)
	server := g.Serve(l, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(want) })})
	defer g.Close()
	defer server.Close()
	l.accept <- far
	sendPieces(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1<<20)
	reader := bufio.NewReaderSize(pausing{near}, writePieceBytes)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(response.Body); err != nil || !bytes.Equal(got, want) {
		t.Errorf("read %d bytes, %v, want %d", len(got), err, len(want))
	}
}

// pausing waits before each read, less than the timeout of a write; all reads of the test together
// take longer.
type pausing struct{ net.Conn }

func (p pausing) Read(b []byte) (int, error) {
	time.Sleep(250 * time.Millisecond)
	return p.Conn.Read(b)
}

// TestLateWrite guards against a response that is cut off because the process was paused between
// the start of a write's timeout and the write.
func TestLateWrite(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	g := New()
	g.writeTimeout = time.Nanosecond
	c := newConn(far, &listener{guard: g, set: &g.callers, bounds: g.bounds.Load})
	go (&sender{raw: c, text: "late", size: 4, done: make(chan struct{})}).run()
	got := make([]byte, 4)
	if _, err := io.ReadFull(near, got); err != nil || string(got) != "late" {
		t.Errorf("read %q, %v", got, err)
	}
}
