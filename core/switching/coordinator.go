package switching

import "time"

// Phase is how far a switch is.
type Phase string

// The phases, in the order in which a switch goes through them. Undoing follows
// where a switch can't be completed.
const (
	Idle      Phase = "idle"
	Preparing Phase = "preparing" // ranks copy experts
	Holding   Phase = "holding"   // the holder is to hold the pass
	Arming    Phase = "arming"    // all ranks are to be armed for the held pass
	Releasing Phase = "releasing" // the held pass may begin
	Undoing   Phase = "undoing"   // ranks are to forget the version, so that no late Arm counts
)

// Leader is the rank whose steward leads. It is armed last, so that it is never
// armed unless all others are.
const Leader = 0

// Holder returns the rank that holds passes in a group of that size. It is not
// the leader's, whose machine may stand still with its steward.
func Holder(size int) int { return min(1, size-1) }

// Times of a held pass. A leader that paused finds that its window is over, so
// that it and the guardian beside the holder never act at the same time.
const (
	Window = 400 * time.Millisecond // Window is how long a leader may arm ranks after it last asked the guardian.
	Guard  = 500 * time.Millisecond // Guard is how long after it was last asked the guardian may resolve a held pass.
)

const (
	ahead        = 2  // passes from the last one to the one that is held; a hold takes about a tenth of a pass
	maxRounds    = 80 // rounds of orders after which Preparing is given up
	resendRounds = 8  // rounds that a copy gets before Prepare is sent again

	// raise is added to a version that a rank refused: it had a higher one, which
	// its status doesn't show while it copies. It is above what a draw adds.
	raise = 1 << 13
)

// Coordinator leads a group from one map to the next, or resolves what another
// left. It is an immutable value; start with NewCoordinator or NewGuardian for
// each epoch of the group.
type Coordinator struct {
	Phase   Phase
	Epoch   uint64
	Size    int
	Version uint64 // Version is that of the switch in progress.
	Step    uint64 // Step is the pass that is held.
	Current Map    // Current is the map in use.

	next     Map
	base     uint64 // highest version that any rank may have had
	poison   uint64 // version that replaces Version in Undoing
	rounds   int    // rounds of orders in this phase
	until    time.Time
	armed    map[int]bool // ranks that are armed; never written after construction
	accepted map[int]bool // ranks that took the version of the phase; never written after construction
	absent   bool         // absent: the leader's rank can't be reached
	broken   bool         // broken: a rank refused what the phase needs
}

// NewCoordinator returns the leader's coordinator of a group of that size that
// is in that epoch on that map. What an earlier one left is resolved first.
func NewCoordinator(epoch uint64, size int, current Map, statuses Statuses) Coordinator {
	c := Coordinator{Phase: Idle, Epoch: epoch, Size: size, Current: current, base: statuses.newest()}
	return c.resolve(statuses)
}

// NewGuardian returns the coordinator that resolves a held pass beside the
// holder, while the leader's machine can't be reached. If all other ranks are
// armed, the leader's may be, too: then only the leader can go on.
func NewGuardian(epoch uint64, size int, current Map, statuses Statuses) Coordinator {
	c := Coordinator{Phase: Idle, Epoch: epoch, Size: size, Current: current, base: statuses.newest(), absent: true}
	return c.resolve(statuses)
}

// resolve takes over a pass that is held though no switch is in progress: left
// by a coordinator that ended, or by an order that was carried out late.
func (c Coordinator) resolve(statuses Statuses) Coordinator {
	held := statuses[Holder(c.Size)].Held
	if held == 0 {
		return c
	}
	c.Step = held
	version, all := c.armedAlike(statuses)
	switch {
	case all && c.absent:
		return c
	case all:
		c.Version = version
		return c.enter(Releasing)
	}
	return c.undo()
}

// ranks returns the ranks that count, the leader's last.
func (c Coordinator) ranks() []int {
	var ranks []int
	for rank := range c.Size {
		if rank != Leader {
			ranks = append(ranks, rank)
		}
	}
	if !c.absent {
		ranks = append(ranks, Leader)
	}
	return ranks
}

// armedAlike returns the version that all ranks are armed with for the held pass.
func (c Coordinator) armedAlike(statuses Statuses) (uint64, bool) {
	version := statuses[Holder(c.Size)].Armed
	for _, rank := range c.ranks() {
		if s := statuses[rank]; s.Armed == 0 || s.Armed != version || s.ArmedStep != c.Step {
			return 0, false
		}
	}
	return version, true
}

// WithSwitch begins to go over from the map in use to the next. The draw raises
// the version by some more, so that no late order of an earlier coordinator names
// the same one.
func (c Coordinator) WithSwitch(current, next Map, draw uint64, statuses Statuses) Coordinator {
	if c.Phase != Idle {
		return c
	}
	c.Current = current
	c.Version = max(c.base, statuses.newest()) + 1 + draw
	c.base = c.Version
	c.next = next
	return c.enter(Preparing)
}

func (c Coordinator) enter(phase Phase) Coordinator {
	c.Phase, c.rounds, c.armed, c.accepted, c.broken = phase, 0, nil, nil, false
	return c
}

// undo begins to replace the version of the switch by a higher one with the map
// in use, after which no late Arm can count.
func (c Coordinator) undo() Coordinator {
	c.poison = c.base + 1
	c.base = c.poison
	return c.enter(Undoing)
}

// WithRenewal returns the coordinator after the guardian answered a question
// that was asked at a time: until Guard later it leaves the pass to the leader.
func (c Coordinator) WithRenewal(asked time.Time) Coordinator {
	if until := asked.Add(Window); (c.Phase == Holding || c.Phase == Arming) && until.After(c.until) {
		c.until = until
	}
	return c
}

// With returns the coordinator after the ranks said how they are. Statuses of
// another epoch end the switch: the caller starts anew.
func (c Coordinator) With(statuses Statuses, now time.Time) Coordinator {
	holder := statuses[Holder(c.Size)]
	switch c.Phase {
	case Idle:
		return c.resolve(statuses)
	case Preparing:
		return c.withPrepared(statuses, now)
	case Holding:
		return c.withHeld(holder, now)
	case Arming:
		return c.withArmed(statuses, now)
	case Releasing:
		if holder.Held != c.Step {
			c.next = nil
			return c.enter(Idle)
		}
	case Undoing:
		return c.withForgotten(statuses)
	}
	return c
}

func (c Coordinator) withPrepared(statuses Statuses, now time.Time) Coordinator {
	if c.broken {
		c.base += raise
		return c.enter(Idle) // nothing was armed, so nothing is to be undone
	}
	for _, rank := range c.ranks() {
		if statuses[rank].Prepared == c.Version {
			continue
		}
		if c.rounds >= maxRounds {
			return c.enter(Idle)
		}
		return c
	}
	c.Step = statuses[Holder(c.Size)].Step + ahead
	c.until = now.Add(Window)
	return c.enter(Holding)
}

// withHeld goes on once a pass is held, also an earlier one than was meant: a
// rank holds one at a time. A pass that began meanwhile is left for a later one.
func (c Coordinator) withHeld(holder Status, now time.Time) Coordinator {
	switch {
	case now.After(c.until):
		return c.enter(Releasing) // the hold may have been carried out unseen
	case holder.Held != 0:
		c.Step = holder.Held
		return c.enter(Arming)
	case holder.Step >= c.Step || c.broken:
		c.Step = holder.Step + ahead
		c.broken = false
	}
	return c
}

// withArmed notes which ranks are armed. A rank that refuses and isn't armed
// will never be, so that the switch is undone.
func (c Coordinator) withArmed(statuses Statuses, now time.Time) Coordinator {
	for rank, s := range statuses {
		if s.Armed == c.Version && s.ArmedStep == c.Step {
			c.armed = withRank(c.armed, rank)
		}
	}
	switch {
	case len(c.armed) == c.Size && !now.After(c.until):
		return c.enter(Releasing)
	case c.broken, now.After(c.until):
		return c.undo()
	}
	return c
}

func withRank(ranks map[int]bool, rank int) map[int]bool {
	with := map[int]bool{rank: true}
	for r := range ranks {
		with[r] = true
	}
	return with
}

// withForgotten releases the pass once no rank can switch at it any more: each
// has accepted the higher version, which it does only while it is not armed. A
// pass that somebody else released, or a rank armed with a version that is newer
// than what is to be undone, shows that somebody else leads.
func (c Coordinator) withForgotten(statuses Statuses) Coordinator {
	if statuses[Holder(c.Size)].Held != c.Step {
		return c.enter(Idle)
	}
	forgotten := true
	for _, rank := range c.ranks() {
		s := statuses[rank]
		if s.Armed > c.poison {
			return c.enter(Idle)
		}
		forgotten = forgotten && (c.accepted[rank] || s.Prepared == c.poison)
	}
	if forgotten {
		return c.enter(Releasing)
	}
	return c
}

// Orders returns what to order now, given the latest statuses, and the
// coordinator that has ordered it.
func (c Coordinator) Orders(statuses Statuses, now time.Time) (Coordinator, []Order) {
	c.rounds++
	holder := Holder(c.Size)
	switch c.Phase {
	case Preparing:
		return c, c.each(statuses, func(s Status) (Order, bool) {
			due := c.rounds%resendRounds == 1 || !c.accepted[s.Rank]
			return Order{Verb: Prepare, Version: c.Version, Map: c.next}, due && s.Prepared != c.Version
		})
	case Holding:
		return c, []Order{{Verb: Hold, Rank: holder, Epoch: c.Epoch, Step: c.Step}}
	case Arming:
		return c, c.arm(statuses, now)
	case Releasing:
		return c, []Order{{Verb: Release, Rank: holder, Epoch: c.Epoch, Step: c.Step}}
	case Undoing:
		return c, c.each(statuses, func(s Status) (Order, bool) {
			if s.Armed != 0 && !c.accepted[s.Rank] {
				return Order{Verb: Disarm, Version: s.Armed}, true
			}
			return Order{Verb: Prepare, Version: c.poison, Map: c.Current}, s.Prepared != c.poison && !c.accepted[s.Rank]
		})
	}
	return c, nil
}

// arm returns the orders to arm what is not armed, the leader's rank last.
func (c Coordinator) arm(statuses Statuses, now time.Time) []Order {
	if now.After(c.until) {
		return nil
	}
	orders := c.each(statuses, func(s Status) (Order, bool) {
		return Order{Verb: Arm, Version: c.Version, Step: c.Step}, !c.armed[s.Rank]
	})
	if len(orders) > 1 && orders[len(orders)-1].Rank == Leader {
		return orders[:len(orders)-1]
	}
	return orders
}

func (c Coordinator) each(statuses Statuses, order func(Status) (Order, bool)) []Order {
	var orders []Order
	for _, rank := range c.ranks() {
		s := statuses[rank]
		s.Rank = rank
		if o, wanted := order(s); wanted {
			o.Rank, o.Epoch = rank, c.Epoch
			orders = append(orders, o)
		}
	}
	return orders
}

// Result is how a rank answered an order.
type Result int

// The results.
const (
	Unanswered Result = iota // Unanswered: it may be carried out now, later or never.
	Done                     // Done: what was ordered holds.
	Begun                    // Begun: the rank works on it.
	Refused                  // Refused: it does not fit the rank's state and will not be carried out.
)

// WithResult returns the coordinator after an order of its own was answered.
func (c Coordinator) WithResult(o Order, result Result) Coordinator {
	if o.Epoch != c.Epoch {
		return c
	}
	switch {
	case (c.Phase == Undoing || c.Phase == Preparing && o.Version == c.Version) && o.Verb == Prepare && (result == Done || result == Begun):
		c.accepted = withRank(c.accepted, o.Rank)
	case c.Phase == Undoing && o.Verb == Prepare && o.Version == c.poison && result == Refused:
		c.poison += raise
		c.base = c.poison
	case c.Phase == Preparing && o.Verb == Prepare && result == Refused:
		c.broken = true
	case o.Step != c.Step:
	case c.Phase == Arming && o.Verb == Arm && o.Version == c.Version && result == Done:
		c.armed = withRank(c.armed, o.Rank)
	case c.Phase == Arming && o.Verb == Arm && result == Refused, c.Phase == Holding && o.Verb == Hold && result == Refused:
		c.broken = true
	}
	return c
}
