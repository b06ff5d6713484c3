package upstream_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"hornbeamtray/adapter/upstream"
	"hornbeamtray/adapter/upstream/upstreamtest"
)

// dial returns both ends of a connection. The first is that of the client.
func dial(t *testing.T) (*upstream.Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	client := upstream.NewConn(conn)
	t.Cleanup(func() { client.Close() })
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return client, peer.(*net.TCPConn)
}

// TestEndOfFile guards against a reset that looks like the end of a response, since the kernel
// reported it to a write, and against an end that is taken for a reset.
func TestEndOfFile(t *testing.T) {
	closeThen := func(next func(*net.TCPConn)) func(*net.TCPConn) {
		return func(peer *net.TCPConn) {
			_ = peer.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			next(peer)
		}
	}
	tests := []struct {
		name   string
		writes int // bytes that the client writes; the peer reads none
		end    func(*net.TCPConn)
		late   bool // the client reads only after its write has failed
		err    error
	}{
		{"closed", 0, func(peer *net.TCPConn) { peer.Close() }, false, nil},
		{"reset", 0, upstreamtest.Reset, false, syscall.ECONNRESET},
		{"reset during a write", 16 << 20, upstreamtest.Reset, false, syscall.ECONNRESET},
		{"reset during a write, read later", 16 << 20, upstreamtest.Reset, true, syscall.ECONNRESET},
		{"closed for writing during a write", 16 << 20, closeThen(func(*net.TCPConn) {}), false, nil},
		{"closed, then reset", 0, closeThen(upstreamtest.Reset), false, nil},
		{"closed, then reset during a write", 16 << 20, closeThen(upstreamtest.Reset), false, nil},
		{"closed, then reset during a write, read later", 16 << 20, closeThen(upstreamtest.Reset), true, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for range 10 {
				client, peer := dial(t)
				written := make(chan error, 1)
				go func() {
					_, err := client.Write(make([]byte, tt.writes))
					written <- err
				}()
				if _, err := io.WriteString(peer, "hello"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Millisecond) // the text arrives before the end
				go tt.end(peer)
				if tt.late {
					if err := <-written; err == nil {
						t.Fatal("the write succeeded")
					}
				}
				text, err := io.ReadAll(client)
				if string(text) != "hello" || !errors.Is(err, tt.err) {
					t.Fatalf("read %q and %v, want the text and %v", text, err, tt.err)
				}
				if _, err := client.Read(make([]byte, 1)); err == io.EOF != (tt.err == nil) {
					t.Fatalf("another read returned %v, want an end only after a close", err)
				}
				client.Close()
			}
		})
	}
}

// socketless is a connection without a socket that ends at once.
type socketless struct{ net.Conn }

func (socketless) Read([]byte) (int, error)  { return 0, io.EOF }
func (socketless) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// TestEndOfFileWithoutSocket checks that the failure of a write counts where the state of the
// connection is not known.
func TestEndOfFileWithoutSocket(t *testing.T) {
	conn := upstream.NewConn(socketless{})
	if _, err := conn.Read(nil); err != io.EOF {
		t.Errorf("error is %v, want io.EOF", err)
	}
	_, _ = conn.Write(nil)
	if _, err := conn.Read(nil); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("error is %v after a write that failed, want that of the write", err)
	}
}
