package switching

import (
	"testing"
	"time"
)

// TestSpentPass guards against a pass that is held again after a switch released it: a late
// Release lets it begin while only some ranks are armed.
func TestSpentPass(t *testing.T) {
	now := time.Unix(1000, 0)
	late := now.Add(ArmWindow + time.Millisecond)
	at := func(statuses Statuses, step, held uint64) Statuses {
		changed := Statuses{}
		for rank, s := range statuses {
			s.Step = step
			if s.Held = 0; rank == Holder(3) {
				s.Held = held
			}
			changed[rank] = s
		}
		return changed
	}
	undone := func(t *testing.T) (Coordinator, Statuses) {
		c, statuses := holding(t, now, now)
		c = c.WithStatuses(statuses, late)
		if c.Phase != Undoing {
			t.Fatalf("phase is %s, want undoing", c.Phase)
		}
		for rank := range 3 {
			c = c.WithResult(Order{Verb: Prepare, Rank: rank, Epoch: 1, Version: c.undoVersion}, Done)
		}
		c = c.WithStatuses(statuses, late)
		return c.WithStatuses(at(statuses, 7, 0), late), at(statuses, 7, 0)
	}
	tests := []struct {
		name  string
		begin func(t *testing.T) (Coordinator, Statuses) // a coordinator after a first switch at pass 7
		step  uint64                                     // last pass that began since
		want  uint64                                     // the pass that the next switch holds; 0 for none
	}{
		{"an undone switch, no pass began", undone, 7, 10},
		{"an undone switch, its pass began", undone, 9, 11},
		{"a hold that no status showed", func(t *testing.T) (Coordinator, Statuses) {
			c, statuses := prepared(t, now)
			c = c.WithStatuses(statuses, late)
			return c.WithStatuses(statuses, late), statuses
		}, 7, 10},
		{"a late hold that was resolved", func(t *testing.T) (Coordinator, Statuses) {
			c, statuses := undone(t)
			c = c.WithStatuses(at(statuses, 7, 12), late)
			for rank := range 3 {
				c = c.WithResult(Order{Verb: Prepare, Rank: rank, Epoch: 1, Version: c.undoVersion}, Done)
			}
			c = c.WithStatuses(at(statuses, 7, 12), late)
			return c.WithStatuses(statuses, late), statuses
		}, 7, 13},
		{"a leader that was paused meanwhile", func(t *testing.T) (Coordinator, Statuses) {
			c, statuses := holding(t, now, now)
			statuses = at(statuses, 7, 0) // the guardian released the pass
			return NewCoordinator(1, 3, Map{}, statuses).WithPredecessor(c), statuses
		}, 7, 10},
		{"another process, no pass began", func(t *testing.T) (Coordinator, Statuses) {
			_, statuses := undone(t)
			return NewCoordinator(1, 3, Map{}, statuses), statuses
		}, 7, 0},
		{"another process", func(t *testing.T) (Coordinator, Statuses) {
			_, statuses := undone(t)
			return NewCoordinator(1, 3, Map{}, statuses), statuses
		}, 8, 7 + maxReach + 1},
		{"another process, many passes began", func(t *testing.T) (Coordinator, Statuses) {
			_, statuses := undone(t)
			return NewCoordinator(1, 3, Map{}, statuses), statuses
		}, 7 + maxReach, 7 + maxReach + defaultAhead},
		{"a later epoch", func(t *testing.T) (Coordinator, Statuses) {
			c, statuses := undone(t)
			for rank, s := range statuses {
				s.Epoch = 2
				statuses[rank] = s
			}
			return NewCoordinator(2, 3, Map{}, statuses).WithPredecessor(c), statuses
		}, 7, 7 + defaultAhead},
		{"an earlier epoch, as of another group", func(t *testing.T) (Coordinator, Statuses) {
			c, statuses := undone(t)
			c.Epoch = 2
			return NewCoordinator(1, 3, Map{}, statuses).WithPredecessor(c), statuses
		}, 7, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, statuses := tt.begin(t)
			if c.Phase != Idle {
				t.Fatalf("phase is %s, want idle", c.Phase)
			}
			statuses = at(statuses, tt.step, 0)
			may := c.MaySwitch(statuses)
			c = c.WithSwitch(Map{}, Map{}, 0, statuses)
			if may != (tt.want != 0) || may != (c.Phase == Preparing) {
				t.Fatalf("MaySwitch = %t and the phase is %s, want a switch: %t", may, c.Phase, tt.want != 0)
			}
			if !may {
				return
			}
			for rank, s := range statuses {
				s.Prepared = c.Version
				statuses[rank] = s
			}
			c = c.WithStatuses(statuses, late)
			if _, orders := c.Orders(statuses, late); len(orders) != 1 || orders[0].Verb != Hold || orders[0].Step != tt.want {
				t.Errorf("orders are %+v, want Hold of pass %d", orders, tt.want)
			}
		})
	}
}

// TestHoldOfSpentPass guards against ranks that are armed for a pass that a late Hold holds and
// a late Release may release, and against a leader that waits for that Release.
func TestHoldOfSpentPass(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		held    uint64
		lagging bool
		waits   time.Duration
		want    Phase
	}{
		{"held for this switch", 12, false, 0, Arming},
		{"spent", 8, false, 0, Undoing},
		{"spent, in an old status", 8, true, 0, Holding},
		{"spent, in old statuses for long", 8, true, maxLag + time.Millisecond, Undoing},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, statuses := prepared(t, now)
			c.spent, c.Step = 11, 12
			holder := statuses[Holder(3)]
			holder.Held, holder.Lagging = tt.held, tt.lagging
			statuses[Holder(3)] = holder
			c = c.WithStatuses(statuses, now)
			if later := now.Add(tt.waits); tt.waits > 0 {
				c = c.WithRenewal(later).WithStatuses(statuses, later)
			}
			if c.Phase != tt.want {
				t.Errorf("phase is %s, want %s", c.Phase, tt.want)
			}
		})
	}
}

// TestSwitchesOfIdleGroup checks that held passes stay within reach while no pass begins.
func TestSwitchesOfIdleGroup(t *testing.T) {
	now := time.Unix(1000, 0)
	c, statuses := holding(t, now, now)
	last := c.Step
	switches := 0
	for ; switches < 2*maxReach; switches++ {
		c = NewCoordinator(1, 3, Map{}, Statuses{0: {Step: 7}}).WithPredecessor(c)
		next := Statuses{}
		for rank, s := range statuses {
			s.Held = 0
			next[rank] = s
		}
		if c = c.WithSwitch(Map{}, Map{}, 0, next); c.Phase != Preparing {
			break
		}
		for rank, s := range next {
			s.Prepared = c.Version
			next[rank] = s
		}
		c = c.WithStatuses(next, now)
		if c.Step <= last || c.Step > 7+maxReach {
			t.Fatalf("pass %d is held after pass %d, want a later one up to %d", c.Step, last, 7+maxReach)
		}
		last = c.Step
	}
	if switches == 0 || switches == 2*maxReach {
		t.Errorf("%d switches began while no pass did", switches)
	}
}
