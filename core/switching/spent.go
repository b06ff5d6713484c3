package switching

// A pass is spent if a Release of it may be under way, although it has not begun: in a group that
// begins no passes, it may have been held and released by switches that failed. If it were held
// again, a late Release would let it begin while only some ranks are armed.

// maxReach bounds how many passes after the last one that began a held pass is. So a leader that
// knows nothing of those before it knows which passes may be spent.
const maxReach = 8

// WithPredecessor returns a new coordinator of the leader with what the one before it, of the same
// group and process, knew of the passes that were held. In a later epoch than that one's, none
// was: no other process has led in it.
func (c Coordinator) WithPredecessor(before Coordinator) Coordinator {
	switch {
	case before.Epoch == c.Epoch && before.Size == c.Size:
		c.spent = max(before.spent, before.Step, c.Step)
	case before.Epoch != 0 && before.Epoch < c.Epoch:
		c.spent = 0
	}
	return c
}

// MaySwitch reports whether a switch may begin: the coordinator is idle, and a pass within maxReach
// is not spent. In a group that begins no passes, only so many switches may follow each other.
func (c Coordinator) MaySwitch(statuses Statuses) bool {
	return c.Phase == Idle && max(c.spent, c.Step) < statuses.lastStep()+maxReach
}

// stepToHold returns the pass to hold: the coordinator's next, but none that is spent.
func (c Coordinator) stepToHold(holder Status) uint64 {
	return max(holder.Step+c.Ahead, c.spent+1)
}
