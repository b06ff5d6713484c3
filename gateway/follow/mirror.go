package follow

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// readFresh is how long ago a gateway may have read the store to count as one that
// reads it: more than a watch without news and the pause after one with news.
const readFresh = 2 * time.Second

// maxRemovals bounds the removals that a Mirror remembers for peers.
const maxRemovals = 1000

// Mirror holds the newest of each published item, to be passed on to peers.
type Mirror struct {
	mu       sync.Mutex
	items    map[string]Item // guarded by mu; removals included
	revision uint64          // guarded by mu
	at       time.Time       // guarded by mu
	complete bool            // guarded by mu; everything was listed once
	standing Standing        // guarded by mu
}

// Standing is how a gateway itself fares with the store.
type Standing struct {
	Read   time.Time // Read is when it last read the store.
	Outage time.Time // Outage is when it last could not; zero for never.
}

// Reads reports whether the gateway reads the store by itself at time now.
func (s Standing) Reads(now time.Time) bool {
	return now.Sub(s.Read) < readFresh && !s.Outage.After(s.Read)
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{items: map[string]Item{}}
}

// Standing returns how the gateway itself fares with the store.
func (m *Mirror) Standing() Standing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.standing
}

// Stand takes note of how the gateway itself fares with the store.
func (m *Mirror) Stand(standing Standing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.standing = standing
}

// Revision returns the revision up to which all is known.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Proof returns the revision up to which all is known, when the read that proved
// it began, and whether everything was ever listed.
func (m *Mirror) Proof() (revision uint64, at time.Time, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.at, m.complete
}

// At returns when the latest read began.
func (m *Mirror) At() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at
}

// Take adds what a read brought.
func (m *Mirror) Take(batch Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := map[string]bool{}
	for _, item := range batch.Items {
		listed[item.Key] = true
		if item.Revision > m.items[item.Key].Revision {
			m.items[item.Key] = item
		}
	}
	if batch.Whole {
		m.complete = true
		for key, item := range m.items {
			if !listed[key] && !item.Removed && item.Revision <= batch.Revision {
				m.items[key] = Item{Key: key, Revision: batch.Revision, Removed: true}
			}
		}
	}
	m.revision = max(m.revision, batch.Revision)
	if batch.At.After(m.at) {
		m.at = batch.At
	}
	m.forget()
}

// forget drops the oldest removals over the bound.
func (m *Mirror) forget() {
	var removed []Item
	for _, item := range m.items {
		if item.Removed {
			removed = append(removed, item)
		}
	}
	if len(removed) <= maxRemovals {
		return
	}
	slices.SortFunc(removed, func(a, b Item) int { return int(int64(a.Revision) - int64(b.Revision)) })
	for _, item := range removed[:len(removed)-maxRemovals] {
		delete(m.items, item.Key)
	}
}

// Since returns all items changed after a revision, and whether the mirror
// knows everything up to its own.
func (m *Mirror) Since(after uint64) (Batch, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := Batch{Revision: m.revision, At: m.at}
	for _, item := range m.items {
		if item.Revision > after {
			batch.Items = append(batch.Items, item)
		}
	}
	slices.SortFunc(batch.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return batch, m.complete
}
