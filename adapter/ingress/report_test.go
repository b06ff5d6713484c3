package ingress

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hornbeamtray/adapter/socket"
)

// drain stops a server.
type drain struct {
	server *socket.Server
	done   chan error
}

func (d *drain) run() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	d.done <- d.server.Drain(ctx)
}

// lines is a Journal that keeps its lines.
type lines struct {
	mu   sync.Mutex
	list []string
}

func (l *lines) Event(event string, pairs ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, fmt.Sprint(event, pairs))
}

// TestLog guards against a log line for each refusal, which callers could flood.
func TestLog(t *testing.T) {
	journal := &lines{}
	g := New(WithJournal(journal))
	for i := range 1000 {
		g.refused(headBytes, fmt.Sprintf("10.0.0.%d", i%10))
		g.refused(memory, "10.0.1.1")
	}
	g.report()
	slices.Sort(journal.list)
	want := []string{"callers refused[kind head_bytes count 1000 address 10.0.0.9]", "callers refused[kind memory count 1000 address 10.0.1.1]"}
	if !slices.Equal(journal.list, want) {
		t.Errorf("logged %q, want %q", journal.list, want)
	}
	if err := g.Close(); err != nil {
		t.Error(err)
	}
	if len(journal.list) != len(want) {
		t.Errorf("logged %q again", journal.list[len(want):])
	}
}

// TestAddressOfBody guards against an account in place of the address by which on-call finds the
// caller of a refused body.
func TestAddressOfBody(t *testing.T) {
	journal := &lines{}
	g := New(WithMemory(1<<15), WithJournal(journal))
	raw := dial(t, serveEcho(t, g, echo{guard: g, owner: "account a", limit: 100_000}))
	sendPieces(raw, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n"+strings.Repeat("x", 90000), 1<<20)
	if got := answers(t, raw, "POST", 1); !strings.HasPrefix(got[0], "503 ") {
		t.Fatalf("got %q, want 503", got)
	}
	if err := g.Close(); err != nil {
		t.Error(err)
	}
	if want := "callers refused[kind memory count 1 address 127.0.0.1]"; !slices.Contains(journal.list, want) {
		t.Errorf("logged %q, want %q", journal.list, want)
	}
}

// BenchmarkHead measures a request without a body on a connection in use: with the guard and
// with net/http alone.
func BenchmarkHead(b *testing.B) {
	next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	tests := []struct {
		name  string
		serve func(l net.Listener) *socket.Server
	}{
		{"guarded", func(l net.Listener) *socket.Server { return New().Serve(l, &http.Server{Handler: next}) }},
		{"net/http alone", func(l net.Listener) *socket.Server {
			return socket.Serve(l, &http.Server{Handler: next, ReadHeaderTimeout: time.Second, IdleTimeout: time.Second})
		}},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := tt.serve(l)
			defer server.Close()
			raw := dial(b, l.Addr().String())
			_ = raw.SetDeadline(time.Time{})
			request, response := []byte("GET"+ordinaryHead[len("POST"):]), make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := raw.Write(request); err != nil {
					b.Fatal(err)
				}
				if _, err := raw.Read(response); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
