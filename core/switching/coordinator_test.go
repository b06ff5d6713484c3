package switching

import (
	"testing"
	"time"
)

// prepared returns a coordinator of three ranks that have all prepared the version
// of a switch, and their statuses.
func prepared(t *testing.T, now time.Time) (Coordinator, Statuses) {
	t.Helper()
	statuses := Statuses{}
	for rank := range 3 {
		statuses[rank] = Status{Rank: rank, Size: 3, Epoch: 1, Open: true, Step: 7}
	}
	c := NewCoordinator(1, 3, Map{}, statuses).WithPredecessor(Coordinator{Epoch: 1, Size: 3}).WithSwitch(Map{}, Map{}, 0, statuses)
	c, orders := c.Orders(statuses, now)
	if len(orders) != 3 || orders[0].Verb != Prepare {
		t.Fatalf("orders are %+v, want three Prepare orders", orders)
	}
	for rank, s := range statuses {
		s.Prepared = c.Version
		statuses[rank] = s
	}
	return c.WithStatuses(statuses, now), statuses
}

// holding returns a coordinator whose ranks were prepared at start and that learned
// at now that the pass is held, and the statuses.
func holding(t *testing.T, start, now time.Time) (Coordinator, Statuses) {
	t.Helper()
	c, statuses := prepared(t, start)
	_, orders := c.Orders(statuses, start)
	if len(orders) != 1 || orders[0].Verb != Hold || orders[0].Rank == Leader || orders[0].Step != 9 {
		t.Fatalf("orders are %+v, want one Hold order for pass 9 to a rank other than the leader's", orders)
	}
	s := statuses[1]
	s.Held = orders[0].Step
	statuses[1] = s
	return c.WithStatuses(statuses, now), statuses
}

// TestWindow checks that the leader arms ranks only within its arm window, and that
// a query to the guardian extends the window.
func TestWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name      string
		elapsed   time.Duration
		renewedAt time.Duration // when the guardian was last queried, from start; 0 for never
		wantArm   bool
	}{
		{"at once", 0, 0, true},
		{"within the window", 300 * time.Millisecond, 0, true},
		{"the guardian may act", GuardianDelay, 0, false},
		{"asked since", GuardianDelay, 300 * time.Millisecond, true},
		{"asked too long ago", 2 * GuardianDelay, 300 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, statuses := holding(t, start, start)
			if tt.renewedAt > 0 {
				c = c.WithRenewal(start.Add(tt.renewedAt))
			}
			now := start.Add(tt.elapsed)
			_, orders := c.Orders(statuses, now)
			if (len(orders) > 0) != tt.wantArm {
				t.Errorf("orders after %s are %+v, want any: %t", tt.elapsed, orders, tt.wantArm)
			}
			if after := c.WithStatuses(statuses, now); (after.Phase == Arming) != tt.wantArm || !tt.wantArm && after.Phase != Undoing {
				t.Errorf("phase after %s is %s", tt.elapsed, after.Phase)
			}
		})
	}
}

// TestOrderOfArming checks that the leader's rank is armed last and that the pass is
// released only after all ranks are armed.
func TestOrderOfArming(t *testing.T) {
	now := time.Unix(1000, 0)
	c, statuses := holding(t, now, now)
	c, orders := c.Orders(statuses, now)
	if len(orders) != 2 || orders[0].Rank != 1 || orders[1].Rank != 2 {
		t.Fatalf("orders are %+v, want ranks 1 and 2 armed first", orders)
	}
	c = c.WithResult(orders[0], Done).WithResult(orders[1], Unanswered)
	if c, orders = c.Orders(statuses, now); len(orders) != 1 || orders[0].Rank != 2 {
		t.Fatalf("orders are %+v, want only rank 2, which gave no answer", orders)
	}
	c = c.WithResult(orders[0], Done)
	if c, orders = c.Orders(statuses, now); len(orders) != 1 || orders[0].Rank != Leader {
		t.Fatalf("orders are %+v, want only the leader's rank", orders)
	}
	if c.WithStatuses(statuses, now).Phase != Arming {
		t.Error("the coordinator left the arming phase before all ranks were armed")
	}
	c = c.WithResult(orders[0], Done).WithStatuses(statuses, now)
	if _, orders = c.Orders(statuses, now); c.Phase != Releasing || len(orders) != 1 || orders[0].Verb != Release {
		t.Errorf("phase is %s with orders %+v, want releasing with one Release order", c.Phase, orders)
	}
}

// TestEarlierHold checks that the coordinator arms for a pass that is held already,
// although it is earlier than the one to hold, since a rank that holds one pass
// refuses to hold another.
func TestEarlierHold(t *testing.T) {
	now := time.Unix(1000, 0)
	c, statuses := prepared(t, now)
	s := statuses[1]
	s.Held = 8
	statuses[1] = s
	if c = c.WithStatuses(statuses, now); c.Phase != Arming || c.Step != 8 {
		t.Errorf("phase is %s at pass %d, want arming at pass 8", c.Phase, c.Step)
	}
}
