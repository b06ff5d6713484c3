package switching

import (
	"testing"
	"time"
)

// prepared returns a coordinator of three ranks that all have the version of a
// switch, and their statuses.
func prepared(t *testing.T, now time.Time) (Coordinator, Statuses) {
	t.Helper()
	statuses := Statuses{}
	for rank := range 3 {
		statuses[rank] = Status{Rank: rank, Size: 3, Epoch: 1, Open: true, Step: 7}
	}
	c := NewCoordinator(1, 3, Map{}, statuses).WithSwitch(Map{}, Map{}, 0, statuses)
	c, orders := c.Orders(statuses, now)
	if len(orders) != 3 || orders[0].Verb != Prepare {
		t.Fatalf("orders are %+v, want three to prepare", orders)
	}
	for rank, s := range statuses {
		s.Prepared = c.Version
		statuses[rank] = s
	}
	return c.With(statuses, now), statuses
}

// holding returns a coordinator whose pass is held, after so long.
func holding(t *testing.T, start, now time.Time) (Coordinator, Statuses) {
	t.Helper()
	c, statuses := prepared(t, start)
	_, orders := c.Orders(statuses, start)
	if len(orders) != 1 || orders[0].Verb != Hold || orders[0].Rank == Leader || orders[0].Step != 9 {
		t.Fatalf("orders are %+v, want one to hold pass 9, not at the leader's rank", orders)
	}
	s := statuses[1]
	s.Held = orders[0].Step
	statuses[1] = s
	return c.With(statuses, now), statuses
}

// TestWindow lets the leader arm within its window only, unless the guardian was
// asked since.
func TestWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name    string
		paused  time.Duration
		renewed time.Duration // when the guardian was last asked; 0 for never
		arms    bool
	}{
		{"at once", 0, 0, true},
		{"within the window", 300 * time.Millisecond, 0, true},
		{"the guardian may act", Guard, 0, false},
		{"asked since", Guard, 300 * time.Millisecond, true},
		{"asked too long ago", 2 * Guard, 300 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, statuses := holding(t, start, start)
			if tt.renewed > 0 {
				c = c.WithRenewal(start.Add(tt.renewed))
			}
			now := start.Add(tt.paused)
			_, orders := c.Orders(statuses, now)
			if (len(orders) > 0) != tt.arms {
				t.Errorf("orders after %s are %+v, want any %t", tt.paused, orders, tt.arms)
			}
			if after := c.With(statuses, now); (after.Phase == Arming) != tt.arms || !tt.arms && after.Phase != Undoing {
				t.Errorf("phase after %s is %s", tt.paused, after.Phase)
			}
		})
	}
}

// TestOrderOfArming arms the leader's rank last and releases after all are armed.
func TestOrderOfArming(t *testing.T) {
	now := time.Unix(1000, 0)
	c, statuses := holding(t, now, now)
	c, orders := c.Orders(statuses, now)
	if len(orders) != 2 || orders[0].Rank != 1 || orders[1].Rank != 2 {
		t.Fatalf("orders are %+v, want ranks 1 and 2 to be armed first", orders)
	}
	c = c.WithResult(orders[0], Done).WithResult(orders[1], Unanswered)
	if c, orders = c.Orders(statuses, now); len(orders) != 1 || orders[0].Rank != 2 {
		t.Fatalf("orders are %+v, want rank 2 again", orders)
	}
	c = c.WithResult(orders[0], Done)
	if c, orders = c.Orders(statuses, now); len(orders) != 1 || orders[0].Rank != Leader {
		t.Fatalf("orders are %+v, want the leader's rank last", orders)
	}
	if c.With(statuses, now).Phase != Arming {
		t.Error("the pass is released before all ranks are armed")
	}
	c = c.WithResult(orders[0], Done).With(statuses, now)
	if _, orders = c.Orders(statuses, now); c.Phase != Releasing || len(orders) != 1 || orders[0].Verb != Release {
		t.Errorf("phase is %s with orders %+v, want the pass released", c.Phase, orders)
	}
}

// TestEarlierHold goes on with a pass that is held already: a rank holds one.
func TestEarlierHold(t *testing.T) {
	now := time.Unix(1000, 0)
	c, statuses := prepared(t, now)
	s := statuses[1]
	s.Held = 8
	statuses[1] = s
	if c = c.With(statuses, now); c.Phase != Arming || c.Step != 8 {
		t.Errorf("phase is %s at pass %d, want arming at pass 8", c.Phase, c.Step)
	}
}
