package switching

import (
	"testing"
	"time"
)

// TestLaggingStatusOfHolder guards against a leader that undoes a switch because an old status shows
// the pass that it has just released: some ranks would begin it on the new map and others on the
// old one. A pass that is really held must still be resolved.
func TestLaggingStatusOfHolder(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	held := func(step uint64, lagging bool) Status {
		return Status{Rank: 1, Size: 2, Epoch: 1, Open: true, Step: 9, Held: step, Lagging: lagging}
	}
	tests := []struct {
		name    string
		holder  []Status // 300 ms apart
		resolve int      // index of the status with which the pass is resolved, or -1
	}{
		{"a present status", []Status{held(11, false)}, 0},
		{"an old status", []Status{held(11, true), held(11, true), held(0, false)}, -1},
		{"an old status, then a present one", []Status{held(11, true), held(11, false)}, 1},
		{"old statuses for longer than they can lag", []Status{held(11, true), held(11, true), held(11, true), held(11, true), held(11, true)}, 4},
		{"old statuses of several passes", []Status{held(11, true), held(11, true), held(15, true), held(15, true), held(15, true)}, -1},
		{"old statuses before and after a present one", []Status{held(11, true), held(11, true), held(0, false), held(11, true), held(11, true)}, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewCoordinator(1, 2, Map{}, Statuses{0: {Rank: 0, Size: 2, Epoch: 1, Open: true, Step: 9}, 1: held(0, false)})
			for i, holder := range tt.holder {
				statuses := Statuses{0: {Rank: 0, Size: 2, Epoch: 1, Open: true, Step: 9}, 1: holder}
				c = c.WithStatuses(statuses, start.Add(time.Duration(i)*300*ms))
				if resolves := c.Phase != Idle; resolves != (tt.resolve >= 0 && i >= tt.resolve) {
					t.Fatalf("with status %d the phase is %s, want the pass to be resolved with status %d", i, c.Phase, tt.resolve)
				}
			}
		})
	}
}
