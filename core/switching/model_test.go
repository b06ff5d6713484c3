package switching

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelRank models one rank, which follows the rules that the platform documents.
type modelRank struct {
	highest   uint64 // highest version that the rank has had
	inUse     uint64
	prepared  uint64
	copying   bool
	armed     uint64
	armedStep uint64
	held      uint64
}

// model models a group of ranks, a leader, a guardian, and orders in flight.
type model struct {
	t           *rapid.T
	actions     []string // to choose from at random
	ranks       []modelRank
	step        uint64
	epoch       uint64
	now         time.Time
	delayed     []Order   // orders to apply later
	oldStatuses Statuses  // statuses recorded earlier; the leader may use them for a rank whose steward doesn't answer
	recordedAt  time.Time // of oldStatuses

	leader    Coordinator
	leading   bool
	frozen    bool // the leader's instance is frozen
	lastRound time.Time
	guardian  Coordinator
	guarding  bool
	heldSince time.Time // when the guardian first found heldStep held, or the leader's last round if later
	heldStep  uint64    // held pass as of the guardian's last round; 0 for none
}

// anyActions are the actions in a group that is busy.
var anyActions = []string{"lead", "lead", "lead", "guard", "pass", "copied", "wait", "delayed order", "record statuses", "freeze", "outage", "kill", "epoch"}

// idleActions are the actions in a group that has few requests: switches begin and end between
// two passes.
var idleActions = append(slices.Repeat([]string{"lead", "delayed order", "copied", "wait"}, 5), "pass", "kill", "outage")

func newModel(t *rapid.T, actions []string) *model {
	size := rapid.IntRange(1, 4).Draw(t, "size")
	return &model{t: t, actions: actions, ranks: make([]modelRank, size), epoch: 1, step: 1, now: time.Unix(1000, 0)}
}

// apply carries an order out and returns the rank's answer.
func (m *model) apply(o Order) Result {
	r := &m.ranks[o.Rank]
	if o.Epoch != m.epoch {
		return Refused
	}
	switch o.Verb {
	case Prepare:
		if o.Version == r.prepared {
			return Done
		}
		if o.Version <= r.highest || r.armed != 0 {
			return Refused
		}
		r.highest, r.prepared, r.copying = o.Version, o.Version, true
		return InProgress
	case Arm:
		if o.Version != r.prepared || r.copying || o.Step <= m.step {
			return Refused
		}
		r.armed, r.armedStep = o.Version, o.Step
	case Disarm:
		if r.inUse == o.Version {
			return Refused
		}
		if r.armed == o.Version {
			r.armed, r.armedStep = 0, 0
		}
	case Hold:
		if o.Step <= m.step || r.held != 0 && r.held != o.Step {
			return Refused
		}
		r.held = o.Step
	case Release:
		if r.held == o.Step {
			r.held = 0
		}
	}
	return Done
}

// send carries an order out. If faulty, it may lose the answer, delay the order,
// or carry the order out a second time later.
func (m *model) send(o Order, faulty bool) Result {
	fate := 0
	if faulty {
		fate = rapid.IntRange(0, 5).Draw(m.t, "fate")
	}
	if m.frozen && o.Rank == Leader {
		return Unanswered
	}
	switch fate {
	case 3:
		m.apply(o)
		return Unanswered
	case 4:
		m.delayed = append(m.delayed, o)
		return Unanswered
	case 5:
		result := m.apply(o)
		m.delayed = append(m.delayed, o)
		return result
	default:
		return m.apply(o)
	}
}

// leaderStatuses returns the statuses of the ranks as the leader observes them, some of them old if
// faulty. That of its own rank is never old.
func (m *model) leaderStatuses(faulty bool) Statuses {
	s := m.currentStatuses(true)
	for rank := range m.ranks {
		past, recorded := m.oldStatuses[rank]
		if faulty && recorded && rank != Leader && past.Epoch == m.epoch && m.now.Sub(m.recordedAt) <= maxLag && rapid.IntRange(0, 3).Draw(m.t, "old status") == 0 {
			s[rank] = past
		}
	}
	return s
}

// currentStatuses returns the present statuses of the ranks.
func (m *model) currentStatuses(withLeader bool) Statuses {
	s := Statuses{}
	for rank, r := range m.ranks {
		if rank == Leader && !withLeader {
			continue
		}
		prepared := r.prepared
		if r.copying {
			prepared = 0
		}
		s[rank] = Status{
			Rank: rank, Size: len(m.ranks), Epoch: m.epoch, Open: true, Step: m.step, Map: r.inUse, Prepared: prepared,
			Armed: r.armed, ArmedStep: r.armedStep, Held: r.held,
		}
	}
	return s
}

func (m *model) emptyMap() Map { return Map{make([][]int, len(m.ranks))} }

// beginPass begins the next pass unless a rank holds it, and checks that all ranks
// begin it on the same map.
func (m *model) beginPass() {
	next := m.step + 1
	for _, r := range m.ranks {
		if r.held == next {
			return
		}
	}
	m.step = next
	for i := range m.ranks {
		r := &m.ranks[i]
		if r.armed != 0 && r.armedStep == next {
			r.inUse, r.armed, r.armedStep, r.prepared = r.armed, 0, 0, 0
		}
	}
	for rank, r := range m.ranks {
		if r.inUse != m.ranks[0].inUse {
			m.t.Fatalf("pass %d began with rank 0 on map %d and rank %d on map %d", next, m.ranks[0].inUse, rank, r.inUse)
		}
	}
}

// leaderRound runs one round of the leader's steward.
func (m *model) leaderRound(faulty bool) {
	if m.frozen {
		return
	}
	statuses := m.leaderStatuses(faulty)
	if m.leading && m.leader.Phase != Idle && m.now.Sub(m.lastRound) > ArmWindow {
		m.leading = false
	}
	if !m.leading || m.leader.Epoch != m.epoch {
		m.leading = true
		m.leader = NewCoordinator(m.epoch, len(m.ranks), m.emptyMap(), statuses).WithPredecessor(m.leader)
	}
	m.lastRound, m.heldSince = m.now, m.now
	m.leader = m.leader.WithRenewal(m.now)
	m.leader = m.round(m.leader, statuses, faulty)
	if m.leader.Phase == Idle && noneArmedOrHolding(m.ranks) && rapid.Bool().Draw(m.t, "switch") {
		m.leader = m.leader.WithAhead(rapid.Uint64Range(minAhead, maxAhead).Draw(m.t, "ahead"))
		m.leader = m.leader.WithSwitch(m.emptyMap(), m.emptyMap(), rapid.Uint64Range(0, 1<<12).Draw(m.t, "draw"), statuses)
	}
}

func noneArmedOrHolding(ranks []modelRank) bool {
	for _, r := range ranks {
		if r.armed != 0 || r.held != 0 {
			return false
		}
	}
	return true
}

func (m *model) round(c Coordinator, statuses Statuses, faulty bool) Coordinator {
	c = c.WithStatuses(statuses, m.now)
	c, orders := c.Orders(statuses, m.now)
	for _, o := range orders {
		c = c.WithResult(o, m.send(o, faulty))
	}
	return c
}

// guardianRound runs one round of the steward beside the holder.
func (m *model) guardianRound(faulty bool) {
	held := m.ranks[Holder(len(m.ranks))].held
	if held == 0 || held != m.heldStep {
		m.heldStep, m.heldSince, m.guarding = held, m.now, false
	}
	if !m.frozen || len(m.ranks) == 1 {
		m.guarding = false // the guardian does nothing while the leader answers
		return
	}
	if held == 0 || m.now.Sub(m.heldSince) < GuardianDelay {
		return
	}
	statuses := m.currentStatuses(false) // the guardian uses what stewards answer alone
	if !m.guarding {
		m.guarding = true
		m.guardian = NewGuardian(m.epoch, len(m.ranks), m.emptyMap(), statuses)
	}
	m.guardian = m.round(m.guardian, statuses, faulty)
}

// leaderOutage freezes the leader long enough for the guardian to act, and resumes
// the leader after a random number of the guardian's rounds.
func (m *model) leaderOutage(faulty bool) {
	m.frozen = true
	m.guardianRound(faulty)
	m.now = m.now.Add(GuardianDelay + time.Millisecond)
	m.repeat("guard rounds", 8, func() { m.guardianRound(faulty) })
	m.repeat("passes", 3, m.beginPass)
	m.frozen = false
	m.repeat("leader rounds", 4, func() { m.leaderRound(faulty) })
	m.repeat("passes", 3, m.beginPass)
}

func (m *model) repeat(what string, maxTimes int, f func()) {
	for range rapid.IntRange(0, maxTimes).Draw(m.t, what) {
		f()
	}
}

func (m *model) randomAction(faulty bool) {
	action := rapid.SampledFrom(m.actions).Draw(m.t, "action")
	if !faulty && (action == "freeze" || action == "outage" || action == "kill" || action == "epoch") {
		action = "lead"
	}
	switch action {
	case "lead":
		m.leaderRound(faulty)
	case "guard":
		m.guardianRound(faulty)
	case "pass":
		m.beginPass()
	case "copied":
		m.ranks[rapid.IntRange(0, len(m.ranks)-1).Draw(m.t, "rank")].copying = false
	case "wait":
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(m.t, "ms")) * time.Millisecond)
	case "delayed order":
		if len(m.delayed) > 0 {
			i := rapid.IntRange(0, len(m.delayed)-1).Draw(m.t, "order")
			o := m.delayed[i]
			m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
			m.apply(o)
		}
	case "record statuses":
		m.oldStatuses, m.recordedAt = m.currentStatuses(true), m.now
		for rank, past := range m.oldStatuses {
			past.Lagging = true
			m.oldStatuses[rank] = past
		}
	case "freeze":
		m.frozen = !m.frozen
	case "outage":
		m.leaderOutage(faulty)
	case "kill":
		m.leading, m.leader = false, Coordinator{}
	case "epoch":
		if rapid.IntRange(0, 9).Draw(m.t, "end of epoch") == 0 {
			m.epoch++
			m.ranks = make([]modelRank, len(m.ranks))
		}
	}
}

func init() {
	_ = flag.Set("rapid.seed", "1979")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
}

// TestOneMapInEveryPass plays random histories of late, lost and duplicated orders,
// of a leader that is paused, killed and replaced, and of epochs that end. All ranks
// must begin each pass on the same map, and the group must go on after the faults.
func TestOneMapInEveryPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkModel(t, anyActions) })
}

// TestOneMapInIdleGroup guards against a late Release of a pass that was held, released and
// held again before it began: ranks would begin it while only some of them are armed.
func TestOneMapInIdleGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkModel(t, idleActions) })
}

// checkModel plays a random history of actions, and checks that the group goes on after it.
func checkModel(t *rapid.T, actions []string) {
	m := newModel(t, actions)
	for range rapid.IntRange(50, 400).Draw(t, "actions") {
		m.randomAction(true)
	}
	m.frozen = false
	for range 400 { // without further faults, no pass may stay held
		m.now = m.now.Add(20 * time.Millisecond)
		m.leaderRound(false)
		m.guardianRound(false)
		for i := range m.ranks {
			m.ranks[i].copying = false
		}
		m.beginPass()
	}
	before := m.step
	for range 100 {
		m.now = m.now.Add(20 * time.Millisecond)
		m.leaderRound(false)
		m.beginPass()
	}
	if m.step == before {
		t.Fatalf("the group is stuck at pass %d: ranks %+v, leader %+v", m.step, m.ranks, m.leader)
	}
}
