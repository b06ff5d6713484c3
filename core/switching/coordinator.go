package switching

import "time"

// Phase is the phase of a switch.
type Phase string

// The phases, in the order in which a switch goes through them. If ranks
// may be armed for a switch that can't be completed, Undoing precedes Releasing.
const (
	Idle      Phase = "idle"
	Preparing Phase = "preparing" // ranks copy the experts of the next map
	Holding   Phase = "holding"   // the holder is ordered to hold the pass
	Arming    Phase = "arming"    // all ranks are ordered to arm for the held pass
	Releasing Phase = "releasing" // the holder is ordered to let the held pass begin
	Undoing   Phase = "undoing"   // ranks are ordered to replace the version, so that a late Arm has no effect
)

// Leader is the rank whose steward leads. It is armed last, so that it is never
// armed unless all other ranks are.
const Leader = 0

// Holder returns the rank that holds passes in a group of that size. In a group of
// more than one it is not the leader's rank, whose instance may freeze together
// with the leading steward.
func Holder(size int) int { return min(1, size-1) }

// Time limits of a held pass. The guardian is the steward beside the holder; it
// resolves the pass while the leader's instance can't be reached. ArmWindow is
// shorter than GuardianDelay, so that a leader that was paused stops arming before
// the guardian acts, and the two never act at the same time.
const (
	// ArmWindow is how long the leader may arm ranks after it last queried the
	// guardian.
	ArmWindow = 400 * time.Millisecond
	// GuardianDelay is how long after the leader's last query the guardian may
	// resolve a held pass.
	GuardianDelay = 500 * time.Millisecond
)

const (
	maxPrepareRounds = 80 // rounds of orders after which Preparing fails
	resendRounds     = 8  // rounds of orders after which Prepare is sent again to a rank that still copies

	// versionJump is added to a version that a rank refused because it had a higher
	// one, which its status doesn't show while it copies. It exceeds the random
	// offset that WithSwitch adds.
	versionJump = 1 << 13
)

// Coordinator switches a group from one map to the next, or resolves a held pass
// that another coordinator left: it releases the pass if all ranks are armed for it,
// and otherwise undoes the switch first. It is an immutable value; the steward makes
// one with NewCoordinator or NewGuardian for each epoch of the group.
type Coordinator struct {
	Phase   Phase
	Epoch   uint64
	Size    int
	Version uint64 // Version is the version of the switch in progress.
	Step    uint64 // Step is the pass to hold, then the held pass.
	Current Map    // Current is the map in use.
	Ahead   uint64 // Ahead is how many passes after the last one that began the pass to hold is; see Timing.

	spent         uint64 // no pass up to this one is held for another switch: a late Release of it may be under way
	next          Map
	highest       uint64       // highest version that any rank may have had, as far as known
	undoVersion   uint64       // version that replaces Version in Undoing
	rounds        int          // rounds of orders in this phase
	deadline      time.Time    // end of the arm window
	armed         map[int]bool // ranks that are armed; never written after construction
	accepted      map[int]bool // ranks that accepted the Prepare of the phase; never written after construction
	withoutLeader bool         // the leader's rank can't be reached
	refused       bool         // a rank refused an order that the phase needs
	doubtful      heldSince    // pass that lagging statuses show as held in the phase Idle
}

// NewCoordinator returns the leader's coordinator of a group of that size, in that
// epoch and with that map in use. If an earlier coordinator left a held pass, it
// resolves that first.
func NewCoordinator(epoch uint64, size int, current Map, statuses Statuses) Coordinator {
	c := Coordinator{Phase: Idle, Epoch: epoch, Size: size, Current: current, Ahead: defaultAhead, highest: statuses.highestVersion(), spent: statuses.lastStep() + maxReach}
	if statuses[Holder(size)].Lagging {
		return c // WithStatuses resolves the pass once it is certain that it is held
	}
	return c.resolve(statuses)
}

// NewGuardian returns the coordinator of the steward beside the holder, which
// resolves a held pass while the leader's instance can't be reached. If all other
// ranks are armed, the leader's rank may be armed too; then only the leader can
// release the pass, and the guardian does nothing.
func NewGuardian(epoch uint64, size int, current Map, statuses Statuses) Coordinator {
	c := Coordinator{Phase: Idle, Epoch: epoch, Size: size, Current: current, Ahead: defaultAhead, highest: statuses.highestVersion(), withoutLeader: true}
	return c.resolve(statuses)
}

// ranks returns the ranks that the coordinator sends orders to, the leader's last. A
// guardian sends none to the leader's.
func (c Coordinator) ranks() []int {
	var ranks []int
	for rank := range c.Size {
		if rank != Leader {
			ranks = append(ranks, rank)
		}
	}
	if !c.withoutLeader {
		ranks = append(ranks, Leader)
	}
	return ranks
}

// WithSwitch returns the coordinator after it began to switch from the current map
// to the next, if it may. The random offset raises the version, so that no late
// order of an earlier coordinator carries the same one.
func (c Coordinator) WithSwitch(current, next Map, versionOffset uint64, statuses Statuses) Coordinator {
	if !c.MaySwitch(statuses) {
		return c
	}
	c.spent = max(c.spent, c.Step)
	c.Current = current
	c.Version = max(c.highest, statuses.highestVersion()) + 1 + versionOffset
	c.highest = c.Version
	c.next = next
	return c.enter(Preparing)
}

// WithoutSwitch returns the coordinator after it gave up a switch for which the ranks still
// copy experts. No rank is armed yet, so there is nothing to undo, and a late Prepare has a
// lower version than those of later switches.
func (c Coordinator) WithoutSwitch() Coordinator {
	if c.Phase != Preparing {
		return c
	}
	c.next = nil
	return c.enter(Idle)
}

// WithAhead returns the coordinator with the number of passes from the last one that began to
// the one to hold.
func (c Coordinator) WithAhead(passes uint64) Coordinator {
	c.Ahead = passes
	return c
}

// Next returns the map of the switch in progress, or nil if there is none.
func (c Coordinator) Next() Map { return c.next }

func (c Coordinator) enter(phase Phase) Coordinator {
	c.Phase, c.rounds, c.armed, c.accepted, c.refused, c.doubtful = phase, 0, nil, nil, false, heldSince{}
	return c
}

// undo enters Undoing: it replaces the version of the switch by a higher one with
// the map in use, after which a late Arm has no effect.
func (c Coordinator) undo() Coordinator {
	c.undoVersion = c.highest + 1
	c.highest = c.undoVersion
	return c.enter(Undoing)
}

// WithRenewal returns the coordinator after the guardian answered a query that the
// leader sent at time sentAt. The guardian does not act on the held pass until
// GuardianDelay after it received the query, so in Holding and Arming the arm window
// is extended to ArmWindow after sentAt.
func (c Coordinator) WithRenewal(sentAt time.Time) Coordinator {
	if deadline := sentAt.Add(ArmWindow); (c.Phase == Holding || c.Phase == Arming) && deadline.After(c.deadline) {
		c.deadline = deadline
	}
	return c
}

// WithStatuses returns the coordinator after the ranks reported their statuses. If
// the epoch has changed, the caller must make a new coordinator instead.
func (c Coordinator) WithStatuses(statuses Statuses, now time.Time) Coordinator {
	holder := statuses[Holder(c.Size)]
	switch c.Phase {
	case Idle:
		return c.resolveCertain(statuses, now)
	case Preparing:
		return c.withPrepared(statuses, now)
	case Holding:
		return c.withHeld(statuses, now)
	case Arming:
		return c.withArmed(statuses, now)
	case Releasing:
		if holder.Held != c.Step {
			c.next = nil
			return c.enter(Idle)
		}
	case Undoing:
		return c.withUndone(statuses)
	}
	return c
}

func (c Coordinator) withPrepared(statuses Statuses, now time.Time) Coordinator {
	if c.refused {
		c.highest += versionJump
		return c.enter(Idle) // no rank was armed, so there is nothing to undo
	}
	for _, rank := range c.ranks() {
		if statuses[rank].Prepared == c.Version {
			continue
		}
		if c.rounds >= maxPrepareRounds {
			return c.enter(Idle)
		}
		return c
	}
	c.Step = c.stepToHold(statuses[Holder(c.Size)])
	c.deadline = now.Add(ArmWindow)
	return c.enter(Holding)
}

// withHeld enters Arming once the holder holds a pass. It also accepts an earlier
// pass than the one ordered last, since a rank that holds one pass refuses to hold
// another, but none that is spent: a late Hold holds it, and a late Release may release it, so
// that one is resolved. If the ordered pass has begun meanwhile, or the holder refused, it chooses
// a later pass.
func (c Coordinator) withHeld(statuses Statuses, now time.Time) Coordinator {
	holder := statuses[Holder(c.Size)]
	switch {
	case now.After(c.deadline):
		return c.enter(Releasing) // the holder may hold the pass although no status shows it
	case holder.Held > c.spent:
		c.Step = holder.Held
		return c.enter(Arming)
	case holder.Held != 0:
		return c.resolveCertain(statuses, now)
	case holder.Step >= c.Step || c.refused:
		c.Step = c.stepToHold(holder)
		c.refused = false
	}
	return c
}

// withArmed records which ranks are armed. It releases the pass when all are armed.
// It undoes the switch after the arm window, or if a rank refused its Arm, since that
// rank will never be armed.
func (c Coordinator) withArmed(statuses Statuses, now time.Time) Coordinator {
	for rank, s := range statuses {
		if s.Armed == c.Version && s.ArmedStep == c.Step {
			c.armed = withRank(c.armed, rank)
		}
	}
	switch {
	case len(c.armed) == c.Size && !now.After(c.deadline):
		return c.enter(Releasing)
	case c.refused, now.After(c.deadline):
		return c.undo()
	}
	return c
}

// withRank returns a copy of the set of ranks with one rank added.
func withRank(ranks map[int]bool, rank int) map[int]bool {
	with := map[int]bool{rank: true}
	for r := range ranks {
		with[r] = true
	}
	return with
}

// withUndone releases the pass once no rank can switch at it any more: each rank
// has accepted the higher version, which it does only while it is not armed. If the
// pass is no longer held, or a rank is armed with a version above undoVersion,
// another steward leads and the coordinator becomes idle.
func (c Coordinator) withUndone(statuses Statuses) Coordinator {
	if statuses[Holder(c.Size)].Held != c.Step {
		return c.enter(Idle)
	}
	undone := true
	for _, rank := range c.ranks() {
		s := statuses[rank]
		if s.Armed > c.undoVersion {
			return c.enter(Idle)
		}
		undone = undone && (c.accepted[rank] || s.Prepared == c.undoVersion)
	}
	if undone {
		return c.enter(Releasing)
	}
	return c
}

// Orders returns the orders to send now, given the latest statuses, and the
// coordinator after it sent them.
func (c Coordinator) Orders(statuses Statuses, now time.Time) (Coordinator, []Order) {
	c.rounds++
	holder := Holder(c.Size)
	switch c.Phase {
	case Preparing:
		return c, c.ordersForRanks(statuses, func(s Status) (Order, bool) {
			due := c.rounds%resendRounds == 1 || !c.accepted[s.Rank]
			return Order{Verb: Prepare, Version: c.Version, Map: c.next}, due && s.Prepared != c.Version
		})
	case Holding:
		return c, []Order{{Verb: Hold, Rank: holder, Epoch: c.Epoch, Step: c.Step}}
	case Arming:
		return c, c.armOrders(statuses, now)
	case Releasing:
		return c, []Order{{Verb: Release, Rank: holder, Epoch: c.Epoch, Step: c.Step}}
	case Undoing:
		return c, c.undoOrders(statuses)
	}
	return c, nil
}

// armOrders returns the orders to the ranks that are not known to be armed. The
// leader's rank gets one only when all others are armed.
func (c Coordinator) armOrders(statuses Statuses, now time.Time) []Order {
	if now.After(c.deadline) {
		return nil
	}
	orders := c.ordersForRanks(statuses, func(s Status) (Order, bool) {
		return Order{Verb: Arm, Version: c.Version, Step: c.Step}, !c.armed[s.Rank]
	})
	if len(orders) > 1 && orders[len(orders)-1].Rank == Leader {
		return orders[:len(orders)-1]
	}
	return orders
}

// undoOrders returns the orders to the ranks that have not accepted the higher version. The
// leader's rank gets its orders first: while it may be armed, all others stay armed, by which the
// guardian knows that it must not release the pass.
func (c Coordinator) undoOrders(statuses Statuses) []Order {
	orders := c.ordersForRanks(statuses, func(s Status) (Order, bool) {
		if s.Armed != 0 && !c.accepted[s.Rank] {
			return Order{Verb: Disarm, Version: s.Armed}, true
		}
		return Order{Verb: Prepare, Version: c.undoVersion, Map: c.Current}, s.Prepared != c.undoVersion && !c.accepted[s.Rank]
	})
	if len(orders) > 0 && orders[len(orders)-1].Rank == Leader {
		return orders[len(orders)-1:]
	}
	return orders
}

// ordersForRanks calls order with the status of each rank and returns the orders for
// which it reports true, with Rank and Epoch set.
func (c Coordinator) ordersForRanks(statuses Statuses, order func(Status) (Order, bool)) []Order {
	var orders []Order
	for _, rank := range c.ranks() {
		s := statuses[rank]
		s.Rank = rank
		if o, needed := order(s); needed {
			o.Rank, o.Epoch = rank, c.Epoch
			orders = append(orders, o)
		}
	}
	return orders
}

// Result is the result of an order.
type Result int

// The results.
const (
	Unanswered Result = iota // Unanswered means that there was no answer; the order may be carried out now, later or never.
	Done                     // Done means that the order is carried out.
	InProgress               // InProgress means that the rank has begun to carry out the order.
	Refused                  // Refused means that the order does not fit the rank's state and will not be carried out.
)

// WithResult returns the coordinator after one of its orders had that result.
func (c Coordinator) WithResult(o Order, result Result) Coordinator {
	if o.Epoch != c.Epoch {
		return c
	}
	switch {
	case (c.Phase == Undoing || c.Phase == Preparing && o.Version == c.Version) && o.Verb == Prepare && (result == Done || result == InProgress):
		c.accepted = withRank(c.accepted, o.Rank)
	case c.Phase == Undoing && o.Verb == Prepare && o.Version == c.undoVersion && result == Refused:
		c.undoVersion += versionJump
		c.highest = c.undoVersion
	case c.Phase == Preparing && o.Verb == Prepare && result == Refused:
		c.refused = true
	case o.Step != c.Step: // the order was for another pass or for none
	case c.Phase == Arming && o.Verb == Arm && o.Version == c.Version && result == Done:
		c.armed = withRank(c.armed, o.Rank)
	case c.Phase == Arming && o.Verb == Arm && result == Refused, c.Phase == Holding && o.Verb == Hold && result == Refused:
		c.refused = true
	}
	return c
}
