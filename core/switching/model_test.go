package switching

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelRank is one rank as the platform describes it.
type modelRank struct {
	newest    uint64 // highest version that it has had
	inUse     uint64
	prepared  uint64
	copying   bool
	armed     uint64
	armedStep uint64
	held      uint64
}

// model is a group of ranks, a leader and a guardian, and orders on their way.
type model struct {
	t     *rapid.T
	ranks []modelRank
	step  uint64
	epoch uint64
	now   time.Time
	late  []Order  // to be carried out at some time
	past  Statuses // of some time ago; what a rank without a steward says is as old

	leader    Coordinator
	leading   bool
	frozen    bool // the leader's machine stands still
	lastRound time.Time
	guardian  Coordinator
	guarding  bool
	heldSince time.Time
	heldSeen  uint64
}

func newModel(t *rapid.T) *model {
	size := rapid.IntRange(1, 4).Draw(t, "size")
	return &model{t: t, ranks: make([]modelRank, size), epoch: 1, step: 1, now: time.Unix(1000, 0)}
}

func (m *model) carryOut(o Order) Result {
	r := &m.ranks[o.Rank]
	if o.Epoch != m.epoch {
		return Refused
	}
	switch o.Verb {
	case Prepare:
		if o.Version == r.prepared {
			return Done
		}
		if o.Version <= r.newest || r.armed != 0 {
			return Refused
		}
		r.newest, r.prepared, r.copying = o.Version, o.Version, true
		return Begun
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

// send carries an order out, loses its answer, or carries it out later.
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
		m.carryOut(o)
		return Unanswered
	case 4:
		m.late = append(m.late, o)
		return Unanswered
	case 5:
		result := m.carryOut(o)
		m.late = append(m.late, o)
		return result
	default:
		return m.carryOut(o)
	}
}

// statuses returns what the ranks say, some of them late if faulty. The leader
// has its own rank's status at once.
func (m *model) statuses(withLeader, faulty bool) Statuses {
	s := m.present(withLeader)
	for rank, past := range m.past {
		if faulty && rank != Leader && past.Epoch == m.epoch && rapid.IntRange(0, 3).Draw(m.t, "late status") == 0 {
			s[rank] = past
		}
	}
	return s
}

func (m *model) present(withLeader bool) Statuses {
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

func (m *model) placement() Map { return Map{make([][]int, len(m.ranks))} }

// pass begins the next pass unless a rank holds it.
func (m *model) pass() {
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
			m.t.Fatalf("pass %d begins with rank 0 on map %d and rank %d on map %d", next, m.ranks[0].inUse, rank, r.inUse)
		}
	}
}

// lead is one round of the leader's steward.
func (m *model) lead(faulty bool) {
	if m.frozen {
		return
	}
	statuses := m.statuses(true, faulty)
	if m.leading && m.leader.Phase != Idle && m.now.Sub(m.lastRound) > Window {
		m.leading = false
	}
	if !m.leading || m.leader.Epoch != m.epoch {
		m.leading = true
		m.leader = NewCoordinator(m.epoch, len(m.ranks), m.placement(), statuses)
	}
	m.lastRound, m.heldSince = m.now, m.now
	m.leader = m.leader.WithRenewal(m.now)
	m.leader = m.round(m.leader, statuses, faulty)
	if m.leader.Phase == Idle && settledModel(m.ranks) && rapid.Bool().Draw(m.t, "switch") {
		m.leader = m.leader.WithSwitch(m.placement(), m.placement(), rapid.Uint64Range(0, 1<<12).Draw(m.t, "draw"), statuses)
	}
}

func settledModel(ranks []modelRank) bool {
	for _, r := range ranks {
		if r.armed != 0 || r.held != 0 {
			return false
		}
	}
	return true
}

func (m *model) round(c Coordinator, statuses Statuses, faulty bool) Coordinator {
	c = c.With(statuses, m.now)
	c, orders := c.Orders(statuses, m.now)
	for _, o := range orders {
		c = c.WithResult(o, m.send(o, faulty))
	}
	return c
}

// guard is one round of the steward beside the holder.
func (m *model) guard(faulty bool) {
	held := m.ranks[Holder(len(m.ranks))].held
	if held == 0 || held != m.heldSeen {
		m.heldSeen, m.heldSince, m.guarding = held, m.now, false
	}
	if !m.frozen || len(m.ranks) == 1 {
		m.guarding = false // it yields to a leader that answers
		return
	}
	if held == 0 || m.now.Sub(m.heldSince) < Guard {
		return
	}
	statuses := m.statuses(false, faulty)
	if !m.guarding {
		m.guarding = true
		m.guardian = NewGuardian(m.epoch, len(m.ranks), m.placement(), statuses)
	}
	m.guardian = m.round(m.guardian, statuses, faulty)
}

// absence freezes the leader for long enough that the guardian begins to act,
// and wakes it at any moment of that.
func (m *model) absence(faulty bool) {
	m.frozen = true
	m.guard(faulty)
	m.now = m.now.Add(Guard + time.Millisecond)
	m.repeat("guard rounds", 8, func() { m.guard(faulty) })
	m.repeat("passes", 3, m.pass)
	m.frozen = false
	m.repeat("leader rounds", 4, func() { m.lead(faulty) })
	m.repeat("passes", 3, m.pass)
}

func (m *model) repeat(what string, most int, f func()) {
	for range rapid.IntRange(0, most).Draw(m.t, what) {
		f()
	}
}

func (m *model) act(faulty bool) {
	action := rapid.SampledFrom([]string{"lead", "lead", "lead", "guard", "pass", "copy", "wait", "late", "look", "freeze", "absence", "kill", "epoch"}).Draw(m.t, "action")
	if !faulty && (action == "freeze" || action == "absence" || action == "kill" || action == "epoch") {
		action = "lead"
	}
	switch action {
	case "lead":
		m.lead(faulty)
	case "guard":
		m.guard(faulty)
	case "pass":
		m.pass()
	case "copy":
		m.ranks[rapid.IntRange(0, len(m.ranks)-1).Draw(m.t, "rank")].copying = false
	case "wait":
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(m.t, "ms")) * time.Millisecond)
	case "late":
		if len(m.late) > 0 {
			i := rapid.IntRange(0, len(m.late)-1).Draw(m.t, "order")
			o := m.late[i]
			m.late = append(m.late[:i], m.late[i+1:]...)
			m.carryOut(o)
		}
	case "look":
		m.past = m.present(true)
	case "freeze":
		m.frozen = !m.frozen
	case "absence":
		m.absence(faulty)
	case "kill":
		m.leading = false
	case "epoch":
		if rapid.IntRange(0, 9).Draw(m.t, "break") == 0 {
			m.epoch++
			m.ranks = make([]modelRank, len(m.ranks))
		}
	}
}

// TestOneMapInEveryPass plays random histories of late, lost and doubled orders,
// of a leader that is paused, killed and replaced, and of epochs that end.
func init() {
	_ = flag.Set("rapid.seed", "1979")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
}

func TestOneMapInEveryPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(50, 400).Draw(t, "actions") {
			m.act(true)
		}
		m.frozen = false
		for range 400 { // without further faults nothing stays held
			m.now = m.now.Add(20 * time.Millisecond)
			m.lead(false)
			m.guard(false)
			for i := range m.ranks {
				m.ranks[i].copying = false
			}
			m.pass()
		}
		before := m.step
		for range 100 {
			m.now = m.now.Add(20 * time.Millisecond)
			m.lead(false)
			m.pass()
		}
		if m.step == before {
			t.Fatalf("the group stands still at pass %d: ranks %+v, leader %+v", m.step, m.ranks, m.leader)
		}
	})
}
