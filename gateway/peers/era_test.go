package peers_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hornbeamtray/core/roster"
	"hornbeamtray/gateway/follow"
)

// TestPeersAcrossEras guards against gateways that bring back, or withhold, what was known
// before the store came back from an older copy: whichever of them has read the store, all
// end in its latest era with the highest version.
func TestPeersAcrossEras(t *testing.T) {
	config := func(version, era, number uint64) follow.Item {
		return follow.Item{Key: "config", Value: []byte{byte(version)}, Version: version, Revision: roster.Revision(era, number)}
	}
	before := follow.Batch{Complete: true, Revision: roster.Revision(1, 32), Items: []follow.Item{config(12, 1, 32)}}
	back := follow.Batch{Complete: true, Revision: roster.Revision(2, 20), Items: []follow.Item{config(5, 2, 9)}}
	tests := []struct {
		name        string
		one, two    []follow.Batch
		first       time.Duration // age of the reads of the first gateway
		second      time.Duration // age of the reads of the second gateway
		wantVersion byte
	}{
		{"one knows of the return", []follow.Batch{before, back}, []follow.Batch{before}, time.Second, time.Second, 12},
		{"one read it before the other's last read", []follow.Batch{before, back}, []follow.Batch{before}, 5 * time.Second, 0, 12},
		{"one that started after the return", []follow.Batch{back}, []follow.Batch{before}, time.Second, time.Second, 12},
		{"one that started after the return, beside one that knows of it", []follow.Batch{back}, []follow.Batch{before, back}, 0, time.Second, 12},
		{"nobody knows what came before", []follow.Batch{back}, nil, time.Second, time.Second, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			one := startGateway(t, "one", "")
			two := startGateway(t, "two", one.address)
			for _, read := range []struct {
				gateway gateway
				batches []follow.Batch
				age     time.Duration
			}{{one, tt.one, tt.first}, {two, tt.two, tt.second}} {
				for _, batch := range read.batches {
					batch.ReadAt = time.Now().Add(-read.age)
					read.gateway.mirror.Apply(batch)
				}
			}
			for _, g := range []gateway{one, two} {
				eventually(t, g.name+" is in the latest era with the highest version", func() bool {
					batch, _ := g.mirror.Since(0)
					return roster.Era(g.mirror.Revision()) == 2 && len(batch.Items) == 1 && batch.Items[0].Value[0] == tt.wantVersion
				})
			}
		})
	}
}

// TestFetchVersions checks which versions a gateway gets from its peers when the store came
// back without them.
func TestFetchVersions(t *testing.T) {
	one := startGateway(t, "one", "")
	two := startGateway(t, "two", one.address)
	one.mirror.Apply(follow.Batch{Complete: true, Revision: roster.Revision(1, 32), Items: []follow.Item{
		{Key: "config", Value: []byte{12}, Version: 12, Revision: roster.Revision(1, 32)}, {Key: "a", Revision: roster.Revision(1, 5)},
	}})
	tests := []struct {
		name  string
		above uint64
		want  []string
	}{
		{"a higher one", 11, []string{"config"}},
		{"the same one", 12, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			batch, found := two.peers.FetchVersions(t.Context(), tt.above)
			var keys []string
			for _, item := range batch.Items {
				keys = append(keys, item.Key)
			}
			if found != (len(tt.want) > 0) || !slices.Equal(keys, tt.want) || batch.Revision != 0 || !batch.ReadAt.IsZero() {
				t.Errorf("FetchVersions = %+v, %t, want the items %v without a revision and a sync time", batch, found, tt.want)
			}
		})
	}
}

// TestTargetThatOnlyThisGatewayKnows guards against an item that the store lost and that
// stays for good at a gateway which learned of the return from one that never knew the item.
func TestTargetThatOnlyThisGatewayKnows(t *testing.T) {
	started := startGateway(t, "started", "")
	old := startGateway(t, "old", started.address)
	old.mirror.Apply(follow.Batch{Complete: true, Revision: roster.Revision(1, 32), ReadAt: time.Now().Add(-time.Second), Items: []follow.Item{
		{Key: "kept", Revision: roster.Revision(1, 5)}, {Key: "lost", Revision: roster.Revision(1, 30)},
	}})
	started.mirror.Apply(follow.Batch{Complete: true, Revision: roster.Revision(2, 20), ReadAt: time.Now(), Items: []follow.Item{{Key: "kept", Revision: roster.Revision(2, 5)}}})
	eventually(t, "the gateway learns that the store lacks the item", func() bool {
		batch, _ := old.mirror.Since(0)
		return len(batch.Items) == 2 && !batch.Items[0].Removed && batch.Items[1].Key == "lost" && batch.Items[1].Lost
	})
}

// TestRemovalThatPeerDropped guards against a target that left long ago and stays for good at
// a gateway that was paused since, as its peer no longer holds the removal.
func TestRemovalThatPeerDropped(t *testing.T) {
	listing := follow.Batch{Complete: true, Revision: 2, ReadAt: time.Now().Add(-time.Second), Items: []follow.Item{{Key: "left", Revision: 1}, {Key: "stays", Revision: 2}}}
	one := startGateway(t, "one", "")
	one.mirror.Apply(listing)
	removals := follow.Batch{Revision: 3000, ReadAt: time.Now(), Items: []follow.Item{{Key: "left", Revision: 3, Removed: true}}}
	for revision := uint64(4); revision <= removals.Revision; revision++ {
		removals.Items = append(removals.Items, follow.Item{Key: fmt.Sprint("t", revision), Revision: revision, Removed: true})
	}
	one.mirror.Apply(removals)
	two := startGateway(t, "two", one.address)
	two.mirror.Apply(listing)
	eventually(t, "the gateway that was paused learns that the target left", func() bool {
		batch, _ := two.mirror.Since(0)
		kept := slices.DeleteFunc(batch.Items, func(i follow.Item) bool { return i.Removed })
		return two.mirror.Revision() == removals.Revision && len(kept) == 1 && kept[0].Key == "stays"
	})
}
