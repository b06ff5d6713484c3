package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamtray/adapter/socket"
)

// echo responds with the method, the path and the body of a request, or with the status that
// an error of ReadBody leads to.
type echo struct {
	guard *Guard
	owner string
	limit int64
}

func (e echo) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, release, err := e.guard.ReadBody(w, r, e.owner, e.limit)
	defer release()
	switch {
	case errors.Is(err, ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrMemory):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, ErrStalled):
		w.WriteHeader(http.StatusRequestTimeout)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
	}
}

// counts is a Meter that counts refusals by kind.
type counts struct {
	mu    sync.Mutex
	kinds map[string]int
}

func (c *counts) Inc(_, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kinds == nil {
		c.kinds = map[string]int{}
	}
	c.kinds[kind]++
}

func (c *counts) Gauge(string, float64) {}

func (c *counts) of(kind string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kinds[kind]
}

// shortBounds are bounds with times that a test can wait for.
func shortBounds() *bounds {
	b := Limits{HeadBytes: 16384}.bounds()
	b.headTimeout, b.idleTimeout, b.bodyTimeout = 400*time.Millisecond, 400*time.Millisecond, 400*time.Millisecond
	return b
}

// serveEcho serves an echo handler, or another one, on a loopback address.
func serveEcho(t testing.TB, g *Guard, next http.Handler, options ...ListenerOption) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if next == nil {
		next = echo{guard: g, limit: 100_000}
	}
	server := g.Serve(l, &http.Server{Handler: next}, options...)
	t.Cleanup(func() {
		_ = server.Close()
		_ = g.Close()
	})
	return l.Addr().String()
}

func dial(t testing.TB, address string) net.Conn {
	t.Helper()
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = raw.Close() })
	_ = raw.SetDeadline(time.Now().Add(20 * time.Second))
	return raw
}

// sendPieces writes text in pieces of size bytes. Errors are left to the reader: a server that
// refuses closes the connection.
func sendPieces(raw net.Conn, text string, size int) {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(raw, text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// answers reads n responses and returns their statuses and bodies.
func answers(t testing.TB, raw net.Conn, method string, n int) []string {
	t.Helper()
	reader := bufio.NewReader(raw)
	var list []string
	for range n {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return append(list, err.Error())
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return append(list, err.Error())
		}
		list = append(list, fmt.Sprintf("%d %s", response.StatusCode, body))
	}
	return list
}

// waitFor waits until condition holds.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for begun := time.Now(); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatalf("%s: not after 10 s", what)
		}
	}
}

func (g *Guard) inUse() (int64, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Used(), len(g.callers.members) + len(g.probes.members)
}

// TestLegalRequests guards against a legal request that the guard changes, delays or refuses,
// however its bytes are split.
func TestLegalRequests(t *testing.T) {
	get := "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	post := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
	chunks := "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nt: u\r\n\r\n"
	large := strings.Repeat("0123456789", 9000)
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"one", get, []string{"200 GET /a "}},
		{"the largest head in lines of 3 bytes", shortLines(16384), []string{"200 GET / "}},
		{"a body", post, []string{"200 POST /b hello"}},
		{"a large body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" + large, []string{"200 POST / " + large}},
		{"pipelined", get + post + get + post + post + get, []string{"200 GET /a ", "200 POST /b hello", "200 GET /a ", "200 POST /b hello", "200 POST /b hello", "200 GET /a "}},
		{"pipelined with chunks", get + chunks + get + post + chunks + chunks + get, []string{"200 GET /a ", "200 POST /c hello", "200 GET /a ", "200 POST /b hello", "200 POST /c hello", "200 POST /c hello", "200 GET /a "}},
		{"large heads after chunks", chunks + shortLines(16384) + shortLines(16384), []string{"200 POST /c hello", "200 GET / ", "200 GET / "}},
		{"empty lines before", strings.Repeat("\r\n", 8) + get + "\r\n\n" + get, []string{"200 GET /a ", "200 GET /a "}},
		{"HTTP/1.0", "GET /a HTTP/1.0\r\n\r\n", []string{"200 GET /a "}},
		{"HTTP/1.0 that stays", "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get, []string{"200 GET /a ", "200 GET /a "}},
		{"all of the server", "OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n\r\n" + get, []string{"200 ", "200 GET /a "}},
		{"an unread body", "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100001\r\n\r\n" + strings.Repeat("\r\n\r", 33333) + "xx" + get, []string{"413 ", "200 GET /a "}},
	}
	for _, tt := range tests {
		for _, size := range []int{1, 7, 1 << 20} {
			t.Run(fmt.Sprintf("%s in pieces of %d", tt.name, size), func(t *testing.T) {
				t.Parallel()
				g := New()
				g.SetLimits(Limits{HeadBytes: 16384, HeadTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second})
				raw := dial(t, serveEcho(t, g, nil))
				sender := &sender{raw: raw, text: tt.text, size: size, done: make(chan struct{})}
				go sender.run()
				if got := answers(t, raw, "GET", len(tt.want)); fmt.Sprint(got) != fmt.Sprint(tt.want) {
					t.Errorf("answers %.300q, want %.300q", got, tt.want)
				}
				<-sender.done
				waitFor(t, "memory is released", func() bool { used, _ := g.inUse(); return used == 0 })
			})
		}
	}
}

// sender sends a text while a test reads the answers.
type sender struct {
	raw  net.Conn
	text string
	size int
	done chan struct{}
}

func (s *sender) run() {
	defer close(s.done)
	sendPieces(s.raw, s.text, s.size)
}

func TestExpectContinue(t *testing.T) {
	raw := dial(t, serveEcho(t, New(), nil))
	reader := bufio.NewReader(raw)
	for range 2 {
		sendPieces(raw, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n", 3)
		if line, err := reader.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
			t.Fatalf("got %q, %v, want 100", line, err)
		}
		_, _ = reader.ReadString('\n')
		sendPieces(raw, "hello", 2)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || string(body) != "POST /a hello" {
			t.Errorf("got %q, %v", body, err)
		}
	}
}

// TestHalfClosed guards against a caller without an answer because it sends nothing further.
func TestHalfClosed(t *testing.T) {
	for _, request := range []string{"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", "GET /a HTTP/1.0\r\n\r\n"} {
		raw := dial(t, serveEcho(t, New(), nil))
		sendPieces(raw, request, len(request))
		_ = raw.(*net.TCPConn).CloseWrite()
		if got := answers(t, raw, "GET", 1); !strings.HasPrefix(got[0], "200 GET /a") {
			t.Errorf("%q got %q", request, got)
		}
	}
}

// TestSplits checks with net/http that requests arrive as they were sent, for any sequence of
// requests and any split of their bytes.
func TestSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 6).Draw(t, "requests") {
			text.WriteString(strings.Repeat("\r\n", rapid.IntRange(0, 2).Draw(t, "empty")))
			fields := strings.Repeat("a: b\r\n", rapid.IntRange(0, 3).Draw(t, "fields"))
			body := rapid.StringOfN(rapid.SampledFrom([]rune("\r\nGET :x")), 0, 30, -1).Draw(t, "body")
			fmt.Fprintf(&text, "POST /%d HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", i, fields, len(body), body)
			want = append(want, fmt.Sprintf("200 POST /%d %s", i, body))
		}
		g := New()
		defer g.Close()
		l := newPipeListener()
		server := g.Serve(l, &http.Server{Handler: echo{guard: g, limit: 1000}})
		defer server.Close()
		near, far := net.Pipe()
		defer near.Close()
		l.accept <- far
		sender := &sender{raw: near, text: text.String(), size: rapid.IntRange(1, 50).Draw(t, "size"), done: make(chan struct{})}
		go sender.run()
		reader := bufio.NewReader(near)
		for _, w := range want {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(response.Body); err != nil || fmt.Sprintf("%d %s", response.StatusCode, body) != w {
				t.Fatalf("got %d %q, %v, want %q", response.StatusCode, body, err, w)
			}
		}
		_ = near.Close()
		<-sender.done
	})
}

// pipeListener passes on connections that a test makes.
type pipeListener struct {
	accept chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{accept: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case raw := <-l.accept:
		return raw, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// TestRelease guards against memory and connections that stay reserved after a request,
// however it ends.
func TestRelease(t *testing.T) {
	tests := []struct {
		name string
		end  func(w http.ResponseWriter, r *http.Request)
	}{
		{"with an answer", func(http.ResponseWriter, *http.Request) {}},
		{"with a panic", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"with a hijack", func(w http.ResponseWriter, _ *http.Request) {
			if raw, _, err := http.NewResponseController(w).Hijack(); err == nil {
				socket.Reset(raw)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := New()
			inUse := int64(0)
			address := serveEcho(t, g, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, _, err := g.ReadBody(w, r, "account", 0); err != nil {
					t.Error(err)
				}
				inUse, _ = g.inUse()
				tt.end(w, r)
			}))
			raw := dial(t, address)
			sendPieces(raw, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n"+strings.Repeat("a: b\r\n", 100)+"\r\n"+strings.Repeat("x", 90000), 1<<20)
			answers(t, raw, "POST", 1)
			_ = raw.Close()
			waitFor(t, "all is released", func() bool { used, open := g.inUse(); return used == 0 && open == 0 })
			if inUse < 90000 {
				t.Errorf("%d bytes were reserved while the handler ran, want the body and the head", inUse)
			}
		})
	}
}
