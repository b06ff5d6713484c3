// Package trail holds the audit trail of one process: which change, why, from
// which version to which, and when.
//
// The trail is bounded and immutable. Instances keep no disk, so the adapters
// also log each change as it happens.
package trail

import (
	"slices"
	"time"
)

// Capacity is the number of changes that a Trail keeps.
const Capacity = 256

// Change is one entry of the trail.
type Change struct {
	Sequence uint64 // Sequence rises by one with each change of the process.
	Time     time.Time
	Subject  string // Subject is what changed, such as configuration or target m1.
	Cause    string
	Before   string
	After    string
}

// Trail is the most recent changes, oldest first. The zero value is empty.
type Trail struct {
	changes []Change // never written after construction
	next    uint64
}

// With returns the trail with one more change; the oldest falls out at Capacity.
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

// Changes returns the changes kept, oldest first.
func (t Trail) Changes() []Change {
	return slices.Clone(t.changes)
}

// Since returns the kept changes that came after older.
func (t Trail) Since(older Trail) []Change {
	newer := min(int(t.next-older.next), len(t.changes))
	return slices.Clone(t.changes[len(t.changes)-newer:])
}
