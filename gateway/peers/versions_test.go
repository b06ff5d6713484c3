package peers_test

import (
	"context"
	"net"
	"testing"

	"hornbeamtray/adapter/wire"
)

// holder is a peer that always reports the same version. A real one would fetch a higher one
// from the others.
type holder struct {
	version uint64
	listed  bool
	address string
	known   []string
}

func (h *holder) report(_ context.Context, read func(any) error) (any, error) {
	if err := read(&map[string]any{}); err != nil {
		return nil, err
	}
	return map[string]any{"name": h.address, "address": h.address, "complete": h.listed, "version": h.version, "known": h.known}, nil
}

func (h *holder) relay(_ context.Context, read func(any) error) (any, error) {
	if err := read(&map[string]any{}); err != nil {
		return nil, err
	}
	items := []map[string]any{{"key": "config", "version": h.version, "revision": h.version}}
	return map[string]any{"complete": h.listed, "items": items, "revision": h.version}, nil
}

// startHolder starts a holder that names other peers.
func startHolder(t *testing.T, version uint64, listed bool, known []string) *holder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &holder{version: version, listed: listed, address: listener.Addr().String(), known: known}
	server := wire.NewHandlersServer(listener, wire.Handlers{"/gateway/Greet": h.report, "/gateway/Relay": h.relay})
	t.Cleanup(func() { _ = server.Close() })
	return h
}

// TestFetchVersionsOfSeveralPeers guards against a version that is not the highest, or not
// found, since another peer responds later, or one that may lack items holds a higher one.
func TestFetchVersionsOfSeveralPeers(t *testing.T) {
	var known []string
	for _, version := range []uint64{12, 13, 12, 12} {
		known = append(known, startHolder(t, version, true, nil).address)
	}
	known = append(known, startHolder(t, 14, false, nil).address)
	asking := startGateway(t, "asking", startHolder(t, 11, true, known).address)
	eventually(t, "the gateway knows all peers", func() bool { return len(asking.peers.Running()) >= len(known)+1 })
	for range 10 {
		batch, found := asking.peers.FetchVersions(t.Context(), 10)
		if !found || len(batch.Items) != 1 || batch.Items[0].Version != 13 {
			t.Fatalf("FetchVersions = %+v, %t, want version 13", batch, found)
		}
	}
}
