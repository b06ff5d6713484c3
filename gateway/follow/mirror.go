package follow

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"hornbeamtray/core/roster"
)

// readerTimeout is how long a gateway counts as a reader of the store after its
// last read. It is more than a watch without changes plus the pause after one
// with changes.
const readerTimeout = 2 * time.Second

// maxRemovals bounds the removals that a Mirror keeps for peers.
const maxRemovals = 1000

// Mirror holds the newest version of each published item, for peers to fetch.
// Its sync time is when the latest read of the store that it covers began,
// whether this gateway or a peer made that read.
type Mirror struct {
	mu       sync.Mutex
	items    map[string]Item // guarded by mu; includes removals
	revision uint64          // guarded by mu
	version  uint64          // guarded by mu; highest version of an item
	syncedAt time.Time       // guarded by mu
	listed   bool            // guarded by mu; set once a complete batch was applied
	pruned   uint64          // guarded by mu; revision of the latest removal that was dropped
	access   StoreAccess     // guarded by mu
}

// StoreAccess holds when a gateway itself last read the store, and last could not for
// some time.
type StoreAccess struct {
	LastRead    time.Time // LastRead is when the last successful read ended.
	ReadBegan   time.Time // ReadBegan is when that read began.
	LastFailure time.Time // LastFailure is the end of the last outage that the gateway saw, or the last failed read in it; zero for none.
}

// IsReader reports whether the gateway itself reads the store at time now.
func (a StoreAccess) IsReader(now time.Time) bool {
	return now.Sub(a.LastRead) < readerTimeout && !a.LastFailure.After(a.LastRead)
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{items: map[string]Item{}}
}

// StoreAccess returns the gateway's own access to the store, as set last.
func (m *Mirror) StoreAccess() StoreAccess {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.access
}

// SetStoreAccess sets the gateway's own access to the store.
func (m *Mirror) SetStoreAccess(access StoreAccess) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.access = access
}

// Revision returns the last revision that the mirror covers.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// SyncState returns the last revision that the mirror covers, its sync time, and
// whether a complete batch was ever applied.
func (m *Mirror) SyncState() (revision uint64, syncedAt time.Time, listed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.syncedAt, m.listed
}

// SyncedAt returns the sync time of the mirror.
func (m *Mirror) SyncedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncedAt
}

// Apply merges a batch into the mirror. It reports false, and changes nothing, if the batch
// covers a read of an earlier era of the store than the mirror does.
func (m *Mirror) Apply(batch Batch) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if batch.Revision != 0 && roster.Era(batch.Revision) < roster.Era(m.revision) {
		return false
	}
	present := map[string]bool{}
	for _, item := range batch.Items {
		present[item.Key] = true
		if item.replaces(m.items[item.Key]) {
			m.items[item.Key] = item
			m.version = max(m.version, item.Version)
		}
	}
	if batch.Complete {
		m.listed = true
		for key, item := range m.items {
			if !present[key] && !item.Removed && item.Version == 0 && item.Revision <= batch.Revision {
				lost := roster.Era(item.Revision) < roster.Era(batch.Revision)
				m.items[key] = Item{Key: key, Revision: batch.Revision, Removed: true, Lost: lost}
			}
		}
	}
	m.revision = max(m.revision, batch.Revision)
	if batch.ReadAt.After(m.syncedAt) {
		m.syncedAt = batch.ReadAt
	}
	m.pruneRemovals()
	return true
}

// replaces reports whether the item is newer than the known one of its key. Neither a lower
// version nor a removal replaces a value that has a version.
func (i Item) replaces(known Item) bool {
	if known.Version != 0 && i.Version != known.Version {
		return i.Version > known.Version
	}
	return i.Revision > known.Revision
}

// Version returns the highest version of a value that has one.
func (m *Mirror) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// countNewer returns how many items of a batch the mirror holds in a newer revision.
func (m *Mirror) countNewer(batch Batch) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, item := range batch.Items {
		if known := m.items[item.Key]; item.Revision != known.Revision && !item.replaces(known) {
			count++
		}
	}
	return count
}

// pruneRemovals drops the oldest removals in excess of maxRemovals. It is
// called with mu held.
func (m *Mirror) pruneRemovals() {
	var removed []Item
	for _, item := range m.items {
		if item.Removed {
			removed = append(removed, item)
		}
	}
	if len(removed) <= maxRemovals {
		return
	}
	slices.SortFunc(removed, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, item := range removed[:len(removed)-maxRemovals] {
		m.pruned = item.Revision
		delete(m.items, item.Key)
	}
}

// Since returns all items that changed after a revision. If removals after it were dropped,
// the batch is complete instead, so that what is missing was removed. Since also reports
// whether a complete batch was ever applied; without one, older items may be missing.
func (m *Mirror) Since(after uint64) (Batch, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := Batch{Revision: m.revision, ReadAt: m.syncedAt}
	if m.listed && after != 0 && after < m.pruned {
		batch.Complete, after = true, 0
	}
	for _, item := range m.items {
		if item.Revision > after {
			batch.Items = append(batch.Items, item)
		}
	}
	slices.SortFunc(batch.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return batch, m.listed
}
