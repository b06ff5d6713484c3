package follow_test

import (
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/core/roster"
	"hornbeamtray/gateway/follow"
)

// TestMirrorAcrossEras checks what a mirror keeps, for peers, when the store came back from
// an older copy.
func TestMirrorAcrossEras(t *testing.T) {
	read := func(era, number uint64, complete bool, items ...follow.Item) follow.Batch {
		for i := range items {
			items[i].Revision = roster.Revision(era, items[i].Revision)
		}
		return follow.Batch{Items: items, Revision: roster.Revision(era, number), Complete: complete, ReadAt: time.Unix(int64(1000*era+number), 0)}
	}
	config := func(version, number uint64) follow.Item {
		return follow.Item{Key: "config", Value: []byte{byte(version)}, Version: version, Revision: number}
	}
	before := read(1, 32, true, config(12, 31), follow.Item{Key: "a", Revision: 30}, follow.Item{Key: "b", Revision: 32})
	back := read(2, 20, true, config(5, 9), follow.Item{Key: "a", Revision: 10})
	tests := []struct {
		name    string
		batches []follow.Batch
		want    uint64 // revision
		version uint64
		removed string // keys that are removed, with * if the store has lost them
	}{
		{"in one era", []follow.Batch{before}, roster.Revision(1, 32), 12, ""},
		{"the store went back", []follow.Batch{before, back}, roster.Revision(2, 20), 12, "b*"},
		{"heard in reverse", []follow.Batch{back, before}, roster.Revision(2, 20), 5, ""},
		{"the same number for another change", []follow.Batch{before, back, read(2, 32, false, config(14, 32))}, roster.Revision(2, 32), 14, "b*"},
		{"removed in the new era", []follow.Batch{before, back, read(2, 21, false, follow.Item{Key: "a", Revision: 21, Removed: true})}, roster.Revision(2, 21), 12, "ab*"},
		{"a removed configuration stays", []follow.Batch{before, back, read(2, 21, false, follow.Item{Key: "config", Revision: 21, Removed: true})}, roster.Revision(2, 21), 12, "b*"},
		{"a version held by a peer that is behind", []follow.Batch{back, before.Versioned()}, roster.Revision(2, 20), 12, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := follow.NewMirror()
			for _, batch := range tt.batches {
				m.Apply(batch)
			}
			batch, _ := m.Since(0)
			removed := ""
			for _, item := range batch.Items {
				if item.Removed {
					removed += item.Key
				}
				if item.Lost {
					removed += "*"
				}
				if item.Key == "config" && (item.Version != tt.version || item.Value[0] != byte(tt.version)) {
					t.Errorf("configuration is %+v, want version %d", item, tt.version)
				}
			}
			if m.Revision() != tt.want || m.Version() != tt.version || removed != tt.removed {
				t.Errorf("era %d, revision %d, version %d, removed %q; want era %d, revision %d, version %d, removed %q", roster.Era(m.Revision()),
					roster.Number(m.Revision()), m.Version(), removed, roster.Era(tt.want), roster.Number(tt.want), tt.version, tt.removed)
			}
			if at := m.SyncedAt(); at != time.Unix(int64(1000*roster.Era(tt.want)+roster.Number(tt.want)), 0) {
				t.Errorf("sync time is %s, which is not that of the latest read in the latest era", at)
			}
		})
	}
}

// TestAnswersOfTheEraBefore checks that a gateway that learned of the store's return from
// a peer does not take an answer from before it for proof that its state is current.
func TestAnswersOfTheEraBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", false)
		f, c, mirror := startFollower(s, peers{})
		defer f.Close()
		time.Sleep(2 * time.Second)
		follow.NewInbox(mirror, c, decode, time.Now).Apply(follow.Batch{Revision: roster.Revision(1, 1), ReadAt: time.Now()})
		synced := mirror.SyncedAt()
		time.Sleep(10 * time.Second)
		if at := mirror.SyncedAt(); at != synced || c.get().Fresh(time.Now()) {
			t.Errorf("sync time rose by %s with answers of the era before", at.Sub(synced))
		}
		s.mu.Lock()
		calls := s.calls
		s.mu.Unlock()
		if calls > 40 {
			t.Errorf("%d calls in 12 s, want fewer", calls)
		}
	})
}
