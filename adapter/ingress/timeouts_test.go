package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// dribble is the time between the bytes of a slow caller. It is longer than lateReadTimeout, in
// which the guard reads once more after a timeout.
const dribble = 200 * time.Millisecond

// dribbler sends a text byte by byte until done is closed.
type dribbler struct {
	raw  net.Conn
	text string
	done chan struct{}
}

func (d *dribbler) run() {
	for i := range d.text {
		select {
		case <-d.done:
			return
		case <-time.After(dribble):
			sendPieces(d.raw, d.text[i:i+1], 1)
		}
	}
}

// TestTimeouts guards against callers that keep a connection for ever, whether they send
// nothing or a byte from time to time, and against a slow body that is cut off although its
// bytes arrive in time.
func TestTimeouts(t *testing.T) {
	const timeout = 600 * time.Millisecond
	post := "POST / HTTP/1.1\r\nHost: h\r\n"
	slowHead := "GET / HTTP/1.1\r\nHost: h\r\na: " + strings.Repeat("b", 100)
	tests := []struct {
		name     string
		text     string // is sent at once
		dribbled string // is sent byte by byte after the first answer, or at once if there is none before it
		want     []string
	}{
		{"nothing", "", "", []string{"EOF"}},
		{"idle after a request", getRequest, "", []string{"200 GET / ", "EOF"}},
		{"a slow first head", "", slowHead, []string{"408 "}},
		{"a slow first head after an empty line", "\r\n", slowHead, []string{"408 "}},
		{"a slow later head", getRequest, slowHead, []string{"200 GET / ", "408 "}},
		{"a slow pipelined head", getRequest + "G", slowHead[1:], []string{"200 GET / ", "408 "}},
		{"a body that stops", post + "Content-Length: 5\r\n\r\nhell", "", []string{"408 "}},
		{"a body in chunks that stops", post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhell", "", []string{"408 "}},
		{"a slow body", post + "Content-Length: 12\r\n\r\n", "hello, world", []string{"200 POST / hello, world", "EOF"}},
		{"a slow body in chunks", post + "Transfer-Encoding: chunked\r\n\r\nc\r\n", "hello, world\r\n0\r\n\r\n", []string{"200 POST / hello, world", "EOF"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g := New()
			b := shortBounds()
			b.headTimeout, b.idleTimeout, b.bodyTimeout = timeout, timeout, timeout
			g.bounds.Store(b)
			begun := time.Now()
			raw := dial(t, serveEcho(t, g, nil))
			_ = raw.SetDeadline(begun.Add(6 * time.Second))
			sendPieces(raw, tt.text, 1<<20)
			slow := &dribbler{raw: raw, text: tt.dribbled, done: make(chan struct{})}
			defer close(slow.done)
			go slow.run()
			reader := bufio.NewReader(raw)
			for i, want := range tt.want {
				if got := nextAnswer(reader); !strings.HasPrefix(got, want) {
					t.Fatalf("answer %d is %q, want %q", i, got, want)
				}
			}
			if passed := time.Since(begun); passed < timeout-50*time.Millisecond {
				t.Errorf("the connection ended after %s, want at least %s", passed, timeout)
			}
		})
	}
}

// nextAnswer reads a response and returns its status and body, or "EOF" if the connection
// ended instead.
func nextAnswer(reader *bufio.Reader) string {
	if _, err := reader.Peek(1); err != nil {
		return err.Error()
	}
	return answer(reader)
}

// answer reads a response and returns its status and body, or the error.
func answer(reader *bufio.Reader) string {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return response.Status[:4] + string(body)
}

// TestReadsEndWithHead guards against bytes that net/http holds before the guard has counted
// them: a read returns nothing beyond the end of a head or of a body of known length.
func TestReadsEndWithHead(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	_ = near.SetDeadline(time.Now().Add(5 * time.Second))
	g := New()
	c := newConn(far, &listener{guard: g, set: &g.callers, bounds: g.bounds.Load})
	first := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"
	go (&sender{raw: near, text: first + "hello" + getRequest + getRequest, size: 1 << 20, done: make(chan struct{})}).run()
	read := func(want string) {
		t.Helper()
		buffer := make([]byte, 4096)
		if n, err := c.Read(buffer); string(buffer[:n]) != want || err != nil {
			t.Fatalf("read %q, %v, want %q", buffer[:n], err, want)
		}
	}
	read(first)
	if refused := c.begin(&http.Request{ContentLength: 5}); refused != accepted {
		t.Fatalf("the request is refused: %s", refused)
	}
	read("hello")
	c.idle()
	for range 2 {
		read(getRequest)
		if refused := c.begin(&http.Request{}); refused != accepted {
			t.Fatalf("the request is refused: %s", refused)
		}
		c.idle()
	}
}

// TestUncountedHead guards against a head without a reservation: net/http reads it together
// with the end of a body in chunks, so that the guard does not see where it begins.
func TestUncountedHead(t *testing.T) {
	meter := &counts{}
	g := New(WithMemory(1<<17), WithMeter(meter))
	raw := dial(t, serveEcho(t, g, nil))
	chunks := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
	sendPieces(raw, chunks+shortLines(3000), 1<<20)
	reader := bufio.NewReader(raw)
	if got := answer(reader); got != "200 POST / hi" {
		t.Errorf("the body got %q", got)
	}
	if got := answer(reader); !strings.HasPrefix(got, "503 ") || meter.of(string(memory)) != 1 {
		t.Errorf("the head got %q and counted %v, want 503 for lack of memory", got, meter.kinds)
	}
}

// TestReservedFirst guards against memory for a body that is allocated although there is no
// room for it, or for it and the buffer from which it is copied.
func TestReservedFirst(t *testing.T) {
	const held, runs = 20_000, 20
	g := New(WithMemory(100_000)) // an owner gets 50,000 bytes: enough for 40,000, not for 60,000
	r := &reservation{guard: g, owner: "a"}
	buffer := make([]byte, held)
	if !r.resize(held) {
		t.Fatal("no room for the buffer")
	}
	used := g.pool.Used()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		if _, err := grown(buffer, 1<<20, r); err != ErrMemory {
			t.Fatalf("the buffer grew: %v, want %v", err, ErrMemory)
		}
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated >= runs*2*held {
		t.Errorf("%d refusals allocated %d bytes, want none for buffers", runs, allocated)
	}
	if g.pool.Used() != used {
		t.Errorf("%d bytes are reserved after the refusals, want %d", g.pool.Used(), used)
	}
}
