package wire

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// endlessTexts are what a faulty peer may send without end: bytes that are no frames, and
// frames of a message that never ends.
var endlessTexts = []struct{ name, text string }{
	{"zeros", strings.Repeat("\x00", 4096)},
	{"ones", strings.Repeat("\xff", 4096)},
	{"text", strings.Repeat("HTTP/1.1 200 OK\r\n", 256)},
	{"a message", frame(2, 4096)},
	{"empty parts of a message", strings.Repeat(frame(2, 0), 1024)},
	{"heads of a call", frame(1, 4096)},
}

// frame returns a frame of drpc that isn't the last of its packet.
func frame(kind byte, size int) string {
	header := append([]byte{kind << 1}, 1, 1)
	return string(binary.AppendUvarint(header, uint64(size))) + strings.Repeat("x", size)
}

const (
	maxEndlessMemory = 32 << 20 // a few messages of the largest size
	stopEndlessBytes = 1 << 30
	measuredBytes    = 1 << 20 // between two measurements of memory
)

// sendEndless sends a text until the other end closes the connection, and stores the most
// memory that this process used meanwhile beyond what it used before.
func sendEndless(conn net.Conn, text string, memory *atomic.Int64) {
	defer conn.Close()
	before := heapBytes()
	for written := 0; written < stopEndlessBytes; {
		n, err := io.WriteString(conn, text)
		if (written+n)/measuredBytes > written/measuredBytes || err != nil {
			memory.Store(max(memory.Load(), heapBytes()-before))
		}
		if written += n; err != nil {
			return
		}
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestEndlessAnswer guards against a process that keeps all that a faulty peer sends in
// answer to a call.
func TestEndlessAnswer(t *testing.T) {
	for _, tt := range endlessTexts {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			var memory atomic.Int64
			go func() {
				if conn, err := listener.Accept(); err == nil {
					sendEndless(conn, tt.text, &memory)
				}
			}()
			client := NewClient()
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if err := client.Call(ctx, listener.Addr().String(), "/test/Next", number{1}, &number{}); err == nil {
				t.Error("the call succeeded")
			}
			if n := memory.Load(); n > maxEndlessMemory {
				t.Errorf("the call took %d bytes of memory, want at most %d", n, maxEndlessMemory)
			}
		})
	}
}

// TestEndlessCall guards against a process that keeps all that a faulty peer sends as a call.
func TestEndlessCall(t *testing.T) {
	for _, tt := range endlessTexts {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := NewHandlersServer(listener, Handlers{})
			defer server.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			var memory atomic.Int64
			sendEndless(conn, tt.text, &memory)
			if n := memory.Load(); n > maxEndlessMemory {
				t.Errorf("the server took %d bytes of memory, want at most %d", n, maxEndlessMemory)
			}
		})
	}
}
