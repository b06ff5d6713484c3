package peers_test

import (
	"sync"
	"testing"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/route"
	"hornbeamtray/gateway/follow"
)

// TestFreshnessBesideSlowDecoder guards against a gateway that accepts a key that was taken
// away for long, since a peer proves the new configuration to be current while this gateway
// still decodes it, as after a freeze.
func TestFreshnessBesideSlowDecoder(t *testing.T) {
	config := func(version uint64) follow.Batch {
		return follow.Batch{Complete: true, Revision: 10 + version, Items: []follow.Item{{Key: "config", Value: []byte{byte(version)}, Version: version, Revision: 10 + version}}}
	}
	decodeBook := func(batch follow.Batch, slow time.Duration) dispatch.Update {
		update := dispatch.Update{Revision: batch.Revision, ReadAt: batch.ReadAt}
		for _, item := range batch.Items {
			update.Books = append(update.Books, route.NewBook(item.Version))
			if item.Version > 1 {
				time.Sleep(slow)
			}
		}
		return update
	}
	tests := []struct {
		name  string
		store bool // this gateway reads the new configuration from the store, too
		slow  time.Duration
	}{
		{"from a peer", false, 700 * time.Millisecond},
		{"from the store and a peer", true, 700 * time.Millisecond},
		{"from the store and a peer, slower than reports expire", true, 1800 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			one := startDecodingGateway(t, "127.0.0.1:0", "one", "", func(b follow.Batch, _ time.Time) dispatch.Update { return decodeBook(b, 0) })
			two := startDecodingGateway(t, "127.0.0.1:0", "two", one.address, func(b follow.Batch, _ time.Time) dispatch.Update { return decodeBook(b, tt.slow) })
			read := func(g gateway, version uint64) {
				batch := config(version)
				batch.ReadAt = time.Now()
				g.inbox.Apply(batch)
			}
			read(one, 1)
			read(two, 1)
			changedAt := time.Now() // when the key was taken away
			time.Sleep(time.Millisecond)
			var reading sync.WaitGroup
			if tt.store {
				reading.Go(func() { read(two, 2) })
			}
			for end := time.Now().Add(2 * tt.slow); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				read(one, 2)
				if s := two.service.State(); s.Book.Version < 2 && s.SyncedAt.After(changedAt) {
					t.Fatalf("the state is up to date as of %s after the change, with the configuration before it", s.SyncedAt.Sub(changedAt))
				}
			}
			reading.Wait()
			eventually(t, "the new configuration is in force", func() bool { return two.service.State().Book.Version == 2 })
		})
	}
}
