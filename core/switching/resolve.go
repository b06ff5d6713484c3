package switching

import "time"

// maxLag is the age that a lagging status may have at most. Ranks report to other instances what was
// true some hundred milliseconds ago.
const maxLag = time.Second

// heldSince is a held pass, and since when statuses show it. The zero value means none.
type heldSince struct {
	step uint64
	at   time.Time
}

// resolveCertain resolves a held pass of which it is certain that it is still held. A lagging
// status may show a pass that this coordinator has just released. If ranks are armed for that
// one, undoing the switch now would leave some of them on the old map.
func (c Coordinator) resolveCertain(statuses Statuses, now time.Time) Coordinator {
	holder := statuses[Holder(c.Size)]
	switch {
	case holder.Held == 0:
		c.doubtful = heldSince{}
		return c
	case holder.Lagging && c.doubtful.step != holder.Held:
		c.doubtful = heldSince{holder.Held, now}
		return c
	case holder.Lagging && now.Sub(c.doubtful.at) <= maxLag:
		return c
	}
	return c.resolve(statuses)
}

// resolve takes over a pass that is held although no switch is in progress. Either
// an earlier coordinator left it, or a Hold order was carried out late.
func (c Coordinator) resolve(statuses Statuses) Coordinator {
	held := statuses[Holder(c.Size)].Held
	if held == 0 {
		return c
	}
	c.Step, c.spent = held, max(c.spent, c.Step)
	version, all := c.commonArmedVersion(statuses)
	switch {
	case all && c.withoutLeader:
		return c
	case all:
		c.Version = version
		return c.enter(Releasing)
	case c.armedLater(statuses):
		return c.enter(Releasing)
	}
	return c.undo()
}

// armedLater reports whether a rank is armed for a pass after the held one. Its switch began after
// that of the held pass had ended, and all ranks are armed for it: to undo it at some would divide
// them. A late Hold holds the earlier pass, and no rank can be armed for that one any more.
func (c Coordinator) armedLater(statuses Statuses) bool {
	for _, rank := range c.ranks() {
		if statuses[rank].ArmedStep > c.Step {
			return true
		}
	}
	return false
}

// commonArmedVersion returns the version that all ranks are armed with for the held
// pass, or false if there is no such version.
func (c Coordinator) commonArmedVersion(statuses Statuses) (uint64, bool) {
	version := statuses[Holder(c.Size)].Armed
	for _, rank := range c.ranks() {
		if s := statuses[rank]; s.Armed == 0 || s.Armed != version || s.ArmedStep != c.Step {
			return 0, false
		}
	}
	return version, true
}
