package pool_test

import (
	"net"
	"strings"
	"testing"

	"hornbeamtray/adapter/pool"
)

// listen accepts connections, and keeps them open, until the test ends. It returns the address.
func listen(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			t.Cleanup(func() { conn.Close() })
		}
	}()
	return listener.Addr().String()
}

// TestCarriedIDs guards against idle connections that keep long request IDs of callers in
// memory, and against a connection that carries two requests with one ID.
func TestCarriedIDs(t *testing.T) {
	long := strings.Repeat("x", 16<<10)
	tests := []struct {
		name, first, second string
		previous            string
		shared              bool // the second request gets the connection of the first
	}{
		{"short", "r1", "r2", "r1", true},
		{"the same", "r1", "r1", "", false},
		{"long", long, "r2", long[:256], true},
		{"long with the same begin", long, long + "y", long[:256], true},
		{"long and the same", long, long, "", false},
		{"none", "", "r2", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := listen(t)
			connections := pool.New(nil)
			defer connections.Close()
			first, err := connections.Get(t.Context(), address, tt.first)
			if err != nil {
				t.Fatal(err)
			}
			first.Carry(tt.first)
			first.Release(nil)
			second, err := connections.Get(t.Context(), address, tt.second)
			if err != nil {
				t.Fatal(err)
			}
			defer second.Close()
			if _, previous := second.Carry(tt.second); previous != tt.previous || (second == first) != tt.shared {
				t.Errorf("the previous ID has %d bytes and the connection is shared: %t; want %d and %t", len(previous), second == first, len(tt.previous), tt.shared)
			}
		})
	}
}
