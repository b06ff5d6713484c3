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

// TestLateHoldBesideArmedRanks guards against ranks that are disarmed for a pass that was
// released, since a late Hold holds an earlier one: the others begin it on the new map.
func TestLateHoldBesideArmedRanks(t *testing.T) {
	status := func(rank int, armedStep uint64) Status {
		s := Status{Rank: rank, Size: 3, Epoch: 1, Open: true, Step: 7, Prepared: 4}
		if rank == Holder(3) {
			s.Held = 9
		}
		if armedStep != 0 {
			s.Armed, s.ArmedStep = 4, armedStep
		}
		return s
	}
	tests := []struct {
		name  string
		armed []uint64 // pass for which each rank is armed; 0 for none
		want  Phase
	}{
		{"armed for a later pass", []uint64{10, 10, 10}, Releasing},
		{"some armed for a later pass, as far as statuses show", []uint64{10, 0, 10}, Releasing},
		{"armed for the held pass", []uint64{9, 9, 9}, Releasing},
		{"some armed for the held pass", []uint64{0, 9, 9}, Undoing},
		{"none armed", []uint64{0, 0, 0}, Undoing},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			statuses := Statuses{}
			for rank, step := range tt.armed {
				statuses[rank] = status(rank, step)
			}
			if c := NewCoordinator(1, 3, Map{}, statuses); c.Phase != tt.want {
				t.Errorf("the phase of the leader is %s, want %s", c.Phase, tt.want)
			}
			delete(statuses, Leader)
			want := tt.want
			if tt.armed[1] == 9 {
				want = Idle // the leader's rank may be armed, too
			}
			if c := NewGuardian(1, 3, Map{}, statuses); c.Phase != want {
				t.Errorf("the phase of the guardian is %s, want %s", c.Phase, want)
			}
		})
	}
}
