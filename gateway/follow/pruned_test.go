package follow_test

import (
	"fmt"
	"testing"
	"time"

	"hornbeamtray/gateway/follow"
)

// TestRemovalsPrunedDuringPause guards against a target that left while a gateway was paused
// and that the gateway keeps for good, since its peer no longer holds the removal.
func TestRemovalsPrunedDuringPause(t *testing.T) {
	tests := []struct {
		name     string
		removals int // after that of the target
	}{
		{"the peer holds the removal", 10},
		{"the peer dropped the removal", 3000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			read := func(revision uint64, complete bool, items ...follow.Item) follow.Batch {
				return follow.Batch{Items: items, Revision: revision, Complete: complete, ReadAt: time.Unix(int64(revision), 0)}
			}
			listing := read(2, true, follow.Item{Key: "left", Revision: 1}, follow.Item{Key: "stays", Revision: 2})
			paused, peer := follow.NewMirror(), follow.NewMirror()
			paused.Apply(listing)
			peer.Apply(listing)
			peer.Apply(read(3, false, follow.Item{Key: "left", Revision: 3, Removed: true}))
			revision := uint64(3)
			for i := range tt.removals {
				key := fmt.Sprintf("t%d", i)
				peer.Apply(read(revision+1, false, follow.Item{Key: key, Revision: revision + 1}))
				peer.Apply(read(revision+2, false, follow.Item{Key: key, Revision: revision + 2, Removed: true}))
				revision += 2
			}
			batch, _ := peer.Since(paused.Revision())
			paused.Apply(batch)
			state, _ := paused.Since(0)
			present := map[string]bool{}
			for _, item := range state.Items {
				present[item.Key] = !item.Removed
			}
			if present["left"] || !present["stays"] || paused.Revision() != revision {
				t.Errorf("left is present: %t, stays: %t, revision %d; want the state of the peer", present["left"], present["stays"], paused.Revision())
			}
		})
	}
}
