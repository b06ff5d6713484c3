package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hornbeamtray/core/intake"
)

// TestRefusedHeads checks the response to each head that is refused, that no handler runs for
// it, and that the connection is closed.
func TestRefusedHeads(t *testing.T) {
	head := "GET / HTTP/1.1\r\nHost: h\r\n"
	tests := []struct {
		name    string
		text    string
		limits  Limits
		options []ListenerOption
		memory  int64
		kind    kind
		status  string
	}{
		{"too many bytes", head + strings.Repeat("a: "+strings.Repeat("b", 997)+"\r\n", 21), Limits{HeadBytes: 16384}, nil, 0, headBytes, "431"},
		{"too many bytes, no limit known", head + strings.Repeat("a: "+strings.Repeat("b", 997)+"\r\n", 66), Limits{}, nil, 0, headBytes, "431"},
		{"a line without an end", head + "a: " + strings.Repeat("b", 1<<17), Limits{HeadBytes: 16384}, nil, 0, headBytes, "431"},
		{"too many lines", head + strings.Repeat("a:\n", 8192), Limits{}, nil, 0, headLines, "431"},
		{"too many lines of no header", head + strings.Repeat("\t\n", 8192), Limits{}, nil, 0, headLines, "431"},
		{"empty lines", strings.Repeat("\r\n", 9), Limits{}, nil, 0, emptyLines, "400"},
		{"empty lines without end", strings.Repeat("\n", 1<<17), Limits{}, nil, 0, emptyLines, "400"},
		{"carriage returns", strings.Repeat("\r", 17), Limits{}, nil, 0, emptyLines, "400"},
		{"no memory", head + strings.Repeat("a:\n", 1000), Limits{}, nil, 1 << 17, memory, "503"},
		{"no memory, but it may be a repeat", head + strings.Repeat("a:\n", 1000), Limits{}, []ListenerOption{WithRepeats()}, 1 << 17, memory, "502"},
		{"late", "G", Limits{HeadTimeout: time.Millisecond}, nil, 0, headTimeout, "408"},
		{"late, but it may be a repeat", "G", Limits{HeadTimeout: time.Millisecond}, []ListenerOption{WithRepeats()}, 0, headTimeout, "400"},
		{"late after an empty line", "\r\n", Limits{HeadTimeout: time.Millisecond}, nil, 0, headTimeout, "408"},
		{"bytes for probes", head + "a: " + strings.Repeat("b", 1<<17), Limits{HeadBytes: 90000}, []ListenerOption{ForProbes()}, 0, headBytes, "431"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			meter, options := &counts{}, []Option(nil)
			if tt.memory > 0 {
				options = append(options, WithMemory(tt.memory))
			}
			g := New(append(options, WithMeter(meter))...)
			g.SetLimits(tt.limits)
			raw := dial(t, serveEcho(t, g, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the request ran") }), tt.options...))
			go (&sender{raw: raw, text: tt.text, size: 1 << 20, done: make(chan struct{})}).run()
			reader := bufio.NewReader(raw)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if err != nil || !strings.HasPrefix(response.Status, tt.status) || !response.Close || response.ContentLength != int64(len(body)) {
				t.Errorf("got %s, %v, close %t, body %q, %v; want %s that closes", response.Status, response.Header, response.Close, body, err, tt.status)
			}
			if tt.status == "503" && response.Header.Get("Retry-After") != "1" {
				t.Errorf("Retry-After is %q, want 1", response.Header.Get("Retry-After"))
			}
			if _, err := reader.ReadByte(); err == nil {
				t.Error("the connection stays open")
			}
			if meter.of(string(tt.kind)) != 1 {
				t.Errorf("counted %v, want one %s", meter.kinds, tt.kind)
			}
			_ = raw.Close()
			waitFor(t, "all is released", func() bool { used, open := g.inUse(); return used == 0 && open == 0 })
		})
	}
}

// TestRefusedAfterRequests guards against limits that hold only for the first head of a
// connection.
func TestRefusedAfterRequests(t *testing.T) {
	get := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	chunks := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	endless := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 50000)
	tests := []struct {
		name, before, text, status string
	}{
		{"a head without end", get, endless, "431"},
		{"a head without end after chunks", chunks, endless, "431"},
		{"a head without end after an empty line after chunks", chunks, "\r\n" + endless, "431"},
		{"a head without end, pipelined", get + get, endless, "431"},
		{"empty lines", get, strings.Repeat("\r\n", 50000), "400"},
		{"empty lines after chunks", chunks, strings.Repeat("\r\n", 50000), "400"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for _, wait := range []bool{true, false} {
				g := New()
				g.SetLimits(Limits{HeadBytes: 16384})
				raw := dial(t, serveEcho(t, g, nil))
				reader := bufio.NewReader(raw)
				requests, parts := strings.Count(tt.before, "HTTP"), []string{tt.before + tt.text}
				if wait {
					parts = []string{tt.before, tt.text}
				}
				for i := range requests + 1 {
					if i == 0 || i == requests && wait {
						go (&sender{raw: raw, text: parts[0], size: 1 << 20, done: make(chan struct{})}).run()
						parts = parts[1:]
					}
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						t.Fatalf("response %d: %v", i, err)
					}
					_, _ = io.Copy(io.Discard, response.Body)
					if want := map[bool]string{true: tt.status, false: "200"}[i == requests]; !strings.HasPrefix(response.Status, want) {
						t.Errorf("response %d is %s, want %s", i, response.Status, want)
					}
				}
			}
		})
	}
}

func TestBodies(t *testing.T) {
	post := "POST / HTTP/1.1\r\nHost: h\r\n"
	tests := []struct {
		name   string
		text   string
		memory int64
		kind   kind
		want   string
		closes bool
	}{
		{"over the limit by its length", post + "Content-Length: 100001\r\n\r\n" + strings.Repeat("x", 100001), 1 << 20, bodyBytes, "413", false},
		{"over the limit in chunks", post + "Transfer-Encoding: chunked\r\n\r\n186a1\r\n" + strings.Repeat("x", 100001) + "\r\n0\r\n\r\n", 1 << 20, bodyBytes, "413", true},
		{"as long as the limit in chunks", post + "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + strings.Repeat("x", 100000) + "\r\n0\r\n\r\n", 1 << 20, accepted, "200", false},
		{"no memory", post + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000), 1 << 17, memory, "503", true},
		{"no memory needed", post + "Content-Length: 4000\r\n\r\n" + strings.Repeat("x", 4000), 1, accepted, "200", false},
		{"no memory, in chunks", post + "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + strings.Repeat("x", 100000) + "\r\n0\r\n\r\n", 1 << 17, memory, "503", true},
		{"stalls", post + "Content-Length: 5\r\n\r\nhell", 1 << 20, bodyStall, "408", true},
		{"stalls in chunks", post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhell", 1 << 20, bodyStall, "408", true},
		{"stalls in the line of a chunk", post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 4095), 1 << 20, bodyStall, "408", true},
		{"broken chunks", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 1 << 20, accepted, "400", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			meter := &counts{}
			g := New(WithMemory(tt.memory), WithMeter(meter))
			g.bounds.Store(shortBounds())
			raw := dial(t, serveEcho(t, g, nil))
			go (&sender{raw: raw, text: tt.text, size: 1 << 20, done: make(chan struct{})}).run()
			response, err := http.ReadResponse(bufio.NewReader(raw), nil)
			if err != nil || !strings.HasPrefix(response.Status, tt.want) || response.Close != tt.closes {
				t.Fatalf("got %v, %v, want %s, closes %t", response, err, tt.want, tt.closes)
			}
			if tt.kind != accepted && meter.of(string(tt.kind)) != 1 {
				t.Errorf("counted %v, want one %s", meter.kinds, tt.kind)
			}
			waitFor(t, "the connection ends", func() bool { used, open := g.inUse(); return used == 0 && open == 0 })
		})
	}
}

// TestUnreadBody guards against a connection that stays open because its caller never sends a
// body that no handler reads.
func TestUnreadBody(t *testing.T) {
	for _, framing := range []string{"Content-Length: 5", "Transfer-Encoding: chunked"} {
		g := New()
		g.bounds.Store(shortBounds())
		raw := dial(t, serveEcho(t, g, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
		sendPieces(raw, "POST / HTTP/1.1\r\nHost: h\r\n"+framing+"\r\n\r\n", 1<<20)
		waitFor(t, "the connection ends", func() bool { _, open := g.inUse(); return open == 0 })
	}
}

// TestLongRequest guards against a timeout for heads or bodies that ends a request whose
// answer takes longer.
func TestLongRequest(t *testing.T) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi",
		"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	} {
		g := New()
		g.bounds.Store(shortBounds())
		raw := dial(t, serveEcho(t, g, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, _, err := g.ReadBody(w, r, "", 0); err != nil {
				t.Error(err)
			}
			select {
			case <-r.Context().Done():
				t.Error("the request was cancelled")
			case <-time.After(1500 * time.Millisecond):
			}
		})))
		sendPieces(raw, text, 1<<20)
		if got := answers(t, raw, "GET", 1); got[0] != "200 " {
			t.Errorf("%q got %q", text, got)
		}
	}
}

// TestIdle checks how long a connection may be idle, and that a caller that sends nothing gets
// no response, which it might take for one to its next request.
func TestIdle(t *testing.T) {
	for _, before := range []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		g := New()
		g.bounds.Store(shortBounds())
		raw := dial(t, serveEcho(t, g, nil))
		sendPieces(raw, before, 1<<20)
		if before != "" {
			answers(t, raw, "GET", 1)
		}
		begun := time.Now()
		if n, err := raw.Read(make([]byte, 1)); n != 0 || err != io.EOF || time.Since(begun) < 300*time.Millisecond {
			t.Errorf("after %q the connection ended with %d bytes, %v after %s; want the end after 400 ms", before, n, err, time.Since(begun))
		}
	}
}

// TestLimitsOfBegunHead guards against a head that is refused because the published limits
// became smaller while it arrived.
func TestLimitsOfBegunHead(t *testing.T) {
	g := New()
	g.SetLimits(Limits{HeadBytes: 16384})
	raw := dial(t, serveEcho(t, g, nil))
	head := shortLines(16384)
	sendPieces(raw, head[:9000], 1<<20)
	waitFor(t, "the head begins", func() bool { used, _ := g.inUse(); return used > 100_000 })
	g.SetLimits(Limits{HeadBytes: 100})
	sendPieces(raw, head[9000:], 1<<20)
	if got := answers(t, raw, "GET", 1); got[0] != "200 GET / " {
		t.Errorf("the head that had begun got %q", got)
	}
	sendPieces(raw, head, 1<<20)
	if got := answers(t, raw, "GET", 1); !strings.HasPrefix(got[0], "431 ") {
		t.Errorf("the next head got %q, want 431", got)
	}
}

// TestLateRead guards against a head that is refused although it arrived while the process
// was paused beyond the timeout.
func TestLateRead(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	g := New()
	b := shortBounds()
	b.headTimeout, b.idleTimeout = time.Nanosecond, time.Nanosecond
	g.bounds.Store(b)
	c := newConn(far, &listener{guard: g, set: &g.callers, bounds: g.bounds.Load})
	go (&sender{raw: near, text: ordinaryHead, size: 1 << 20, done: make(chan struct{})}).run()
	time.Sleep(5 * time.Millisecond) // the deadline passes
	buffer := make([]byte, 4096)
	if n, err := c.Read(buffer); string(buffer[:n]) != ordinaryHead || err != nil {
		t.Errorf("read %q, %v, want the head", buffer[:n], err)
	}
}

// TestBodyAfterLateRead guards against a body without a timeout after a head that the last read
// after a timeout completed: its caller could keep the connection for ever.
func TestBodyAfterLateRead(t *testing.T) {
	g := New()
	b := shortBounds()
	b.headTimeout, b.idleTimeout = time.Nanosecond, time.Nanosecond
	g.bounds.Store(b)
	near, far := net.Pipe()
	defer near.Close()
	l := newPipeListener()
	server := g.Serve(l, &http.Server{Handler: echo{guard: g, limit: 100}})
	defer g.Close()
	defer server.Close()
	_ = near.SetDeadline(time.Now().Add(5 * time.Second))
	go (&sender{raw: near, text: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n", size: 1 << 20, done: make(chan struct{})}).run()
	time.Sleep(5 * time.Millisecond) // the sender waits for the server to read
	l.accept <- far
	if got := answers(t, near, "POST", 1); !strings.HasPrefix(got[0], "408 ") {
		t.Errorf("a body of which no byte arrives got %q, want 408", got)
	}
}

// TestReadAheadAfterChunks guards against a refusal that a caller takes for the response to a
// request that runs: net/http reads a byte beyond the head that it has before the handler
// starts, and after a body in chunks the guard doesn't know that this head is complete.
func TestReadAheadAfterChunks(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	g := New(WithMemory(1 << 20))
	c := newConn(far, &listener{guard: g, set: &g.callers, bounds: g.bounds.Load})
	c.partial, c.scan, c.head.free = true, partialScanner(), 0
	go (&sender{raw: near, text: ordinaryHead + "G", size: 1 << 20, done: make(chan struct{})}).run()
	buffer := make([]byte, keptBytes)
	if n, err := c.Read(buffer); string(buffer[:n]) != ordinaryHead || err != nil {
		t.Fatalf("read %q, %v, want the head", buffer[:n], err)
	}
	c.head.resize(0)
	g.pool = intake.New(0) // the next reservation fails
	if n, err := c.Read(buffer[:1]); n != 1 || buffer[0] != 'G' || err != nil {
		t.Errorf("the read beyond the head returned %q, %v, want the next byte", buffer[:n], err)
	}
}
