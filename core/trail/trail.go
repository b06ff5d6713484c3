// Package trail implements the audit trail of one process: what changed, when,
// why, and the states before and after.
//
// The trail is bounded, immutable and held in memory only, since instances have
// no persistent disk; adapters also log each change when it happens.
package trail

import (
	"slices"
	"time"
)

// Capacity is the number of changes that a Trail keeps.
const Capacity = 256

// Change is one entry of the trail.
type Change struct {
	Sequence uint64 // Sequence numbers the changes of the process from 0.
	Time     time.Time
	Subject  string // Subject names what changed, such as "configuration" or "target m1".
	Cause    string
	Before   string
	After    string
}

// Trail holds the most recent changes, up to Capacity. The zero value is empty.
type Trail struct {
	changes []Change // never written after construction
	next    uint64   // sequence number of the next change
}

// With returns the trail with one more change. It drops the oldest change if the
// trail is full.
func (t Trail) With(now time.Time, subject, cause, before, after string) Trail {
	kept := t.changes
	if len(kept) == Capacity {
		kept = kept[1:]
	}
	changes := make([]Change, 0, len(kept)+1)
	changes = append(changes, kept...)
	changes = append(changes, Change{Sequence: t.next, Time: now, Subject: subject, Cause: cause, Before: before, After: after})
	return Trail{changes: changes, next: t.next + 1}
}

// Changes returns the changes in the trail, oldest first.
func (t Trail) Changes() []Change {
	return slices.Clone(t.changes)
}

// Since returns the changes made after older, an earlier state of this trail, as
// far as they are still kept.
func (t Trail) Since(older Trail) []Change {
	newer := min(int(t.next-older.next), len(t.changes))
	return slices.Clone(t.changes[len(t.changes)-newer:])
}
