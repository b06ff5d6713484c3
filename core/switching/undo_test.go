package switching

import (
	"testing"
	"time"
)

// TestLeaderIsUndoneFirst guards against a guardian that releases a pass for which the leader's
// rank alone is armed, since the leader had disarmed the others first and was then paused.
func TestLeaderIsUndoneFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	late := now.Add(ArmWindow + time.Millisecond)
	c, statuses := holding(t, now, now)
	c, orders := c.Orders(statuses, now)
	for _, o := range orders {
		c = c.WithResult(o, Done)
		s := statuses[o.Rank]
		s.Armed, s.ArmedStep = c.Version, c.Step
		statuses[o.Rank] = s
	}
	if _, orders = c.Orders(statuses, now); len(orders) != 1 || orders[0].Rank != Leader {
		t.Fatalf("orders are %+v, want the leader's rank armed", orders)
	}
	c = c.WithResult(orders[0], Unanswered).WithStatuses(statuses, late) // it may be armed, now or later
	if c.Phase != Undoing {
		t.Fatalf("phase is %s, want undoing", c.Phase)
	}
	for _, result := range []Result{Unanswered, InProgress} {
		if c, orders = c.Orders(statuses, late); len(orders) != 1 || orders[0].Rank != Leader {
			t.Fatalf("orders are %+v, want only the leader's rank undone before it has accepted that", orders)
		}
		c = c.WithResult(orders[0], result)
	}
	if _, orders = c.Orders(statuses, late); len(orders) != 2 || orders[0].Verb != Disarm || orders[1].Verb != Disarm {
		t.Errorf("orders are %+v, want the two others disarmed", orders)
	}
}
