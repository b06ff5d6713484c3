// Package group decides, for one rank of a group in lock-step, on which expert
// map the rank may begin a step, so that all ranks use the same map in every step.
//
// A switch to another map needs the votes of all ranks. The group can't step
// without all of them anyway, so this costs no availability. A rank that voted
// ready does not begin the proposal's step before it knows the outcome. Any rank
// that has not voted can abort the proposal for good, so every proposal is decided
// once all ranks are connected. The caller of Propose chooses the map.
//
// Each process of a rank has an epoch, and a group consists of one process of each
// rank. When a process is replaced, a new group forms.
package group

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// DefaultStepsAhead is the default number of steps from the proposal of a map to
// the first step on it.
const DefaultStepsAhead = 8

// State is the state of one rank. It is an immutable value: its slices and maps
// are never written after they were set.
type State struct {
	rank       int
	stepsAhead uint64   // steps from a proposal to the first step on its map
	epochs     []uint64 // newest known epoch of each rank; 0 for none
	formed     bool     // all ranks have joined the group of these epochs

	group      uint64   // ID of the formed group
	helloMaps  []uint64 // map version from each rank's Hello for these epochs; 0 for none
	joinedMaps []uint64 // map version from each rank's Joined for these epochs; 0 for none
	loaded     uint64   // highest version of a map whose weights are all loaded
	current    uint64   // version of the map in use
	step       uint64   // next step of the group

	voted   *Proposal // proposal that the rank voted ready for and whose outcome it does not know
	pending *Proposal // certified proposal whose step has not begun
	votes   []bool    // ranks that voted ready for the proposal in voted
	decided map[Proposal]outcome
}

// New returns the state of a process of a rank that has just started, with a map
// loaded. Its epoch comes from Epoch and may be below that of an earlier process
// of the rank.
func New(rank, ranks int, epoch, loaded uint64) State {
	s := State{rank: rank, stepsAhead: DefaultStepsAhead, epochs: make([]uint64, ranks), loaded: loaded, current: loaded}
	s.epochs[rank] = epoch
	return s.unformed()
}

// WithStepsAhead returns the state with the number of steps from a proposal to the
// first step on its map.
func (s State) WithStepsAhead(steps uint64) State {
	s.stepsAhead = steps
	return s
}

// Formed reports whether the rank is in a group that steps.
func (s State) Formed() bool { return s.formed }

// Group returns the ID of the group that the rank is in.
func (s State) Group() uint64 { return s.group }

// Step returns the next step of the group.
func (s State) Step() uint64 { return s.step }

// Current returns the version of the map in use.
func (s State) Current() uint64 { return s.current }

// Loaded returns the version of the newest map that the rank has loaded.
func (s State) Loaded() uint64 { return s.loaded }

// Undecided reports whether the rank has voted ready for a proposal whose outcome
// it does not know.
func (s State) Undecided() bool { return s.voted != nil }

// WithLoaded returns the state after the rank loaded all weights of a map.
func (s State) WithLoaded(version uint64) State {
	s.loaded = max(s.loaded, version)
	return s
}

// AgreedMap returns the version of the map that the group will use first once it has
// formed: the newest of those in the Hellos of all ranks, this one included. It
// returns false while a Hello is missing.
func (s State) AgreedMap() (uint64, bool) {
	if slices.Contains(s.helloMaps, 0) {
		return 0, false
	}
	return slices.Max(s.helloMaps), true
}

// Tick returns the messages that the rank resends periodically while it waits for
// other ranks; nil if there are none.
func (s State) Tick() []Message {
	switch {
	case !s.formed:
		return s.formingMessages()
	case s.voted != nil:
		return append(s.toAll(Message{Kind: Query, Proposal: *s.voted}), s.toAll(Message{Kind: Prepare, Proposal: *s.voted})...)
	case s.step == 0:
		return s.toAll(s.joinedMessage()) // others may not have received it yet
	}
	return nil
}

// Propose returns the state after the rank proposed a switch to a map, and the
// messages to send. It proposes nothing while a switch is in progress, or if the
// map is not loaded or not newer than the map in use.
func (s State) Propose(version uint64) (State, []Message) {
	if !s.formed || s.voted != nil || s.pending != nil || version <= s.current || version > s.loaded {
		return s, nil
	}
	p := Proposal{Group: s.group, Base: s.current, Map: version, Proposer: s.rank, Step: s.step + s.stepsAhead}
	if s.decided[p] != undecided {
		return s, nil
	}
	s = s.voteReady(p)
	return s, s.toAll(Message{Kind: Prepare, Proposal: p})
}

// Verdict is the decision whether a step may begin, and on which map.
type Verdict struct {
	Run bool
	Map uint64
}

// Begin decides whether the group's next step may begin. The caller calls it only
// once all ranks have ended the step before.
func (s State) Begin() (State, Verdict) {
	if !s.formed {
		return s, Verdict{}
	}
	if s.voted != nil && s.step >= s.voted.Step {
		return s, Verdict{}
	}
	if s.pending != nil && s.step >= s.pending.Step {
		s.current, s.pending = s.pending.Map, nil
	}
	s.step++
	return s, Verdict{Run: true, Map: s.current}
}

// Handle returns the state after a message, and the messages to send.
func (s State) Handle(m Message) (State, []Message) {
	switch m.Kind {
	case Hello, Joined:
		return s.handleMembership(m)
	case Prepare:
		return s.handlePrepare(m)
	case Vote:
		return s.handleVote(m)
	case Certified:
		return s.withOutcome(m.Proposal, certified), nil
	case Aborted:
		return s.withOutcome(m.Proposal, aborted), nil
	case Query:
		return s.handleQuery(m)
	}
	return s, nil
}

// handlePrepare votes on a proposal. It votes ready if the proposal's map is loaded
// and replaces the map in use, the proposal's step has not begun, and no other
// proposal is in progress.
func (s State) handlePrepare(m Message) (State, []Message) {
	p := m.Proposal
	if p.Group != s.group || !s.formed {
		return s, nil
	}
	switch s.decided[p] {
	case certified:
		return s, []Message{s.to(m.From, Message{Kind: Certified, Proposal: p})}
	case aborted:
		return s, []Message{s.to(m.From, Message{Kind: Vote, Proposal: p})}
	}
	if s.voted != nil && *s.voted == p {
		return s, []Message{s.to(m.From, Message{Kind: Vote, Proposal: p, Ready: true})}
	}
	if s.voted != nil || s.pending != nil || p.Base != s.current || p.Step <= s.step || p.Map > s.loaded {
		return s.refuse(p), []Message{s.to(m.From, Message{Kind: Vote, Proposal: p})}
	}
	return s.voteReady(p), []Message{s.to(m.From, Message{Kind: Vote, Proposal: p, Ready: true})}
}

// voteReady returns the state after the rank voted ready for a proposal.
func (s State) voteReady(p Proposal) State {
	s.voted = &p
	s.votes = make([]bool, len(s.epochs))
	s.votes[s.rank] = true
	return s
}

// refuse returns the state after the rank refused a proposal for good, which
// aborts it.
func (s State) refuse(p Proposal) State {
	return s.withOutcome(p, aborted)
}

// handleVote counts a vote and, once it decides the proposal, returns the outcome
// for the other ranks.
func (s State) handleVote(m Message) (State, []Message) {
	if s.voted == nil || *s.voted != m.Proposal {
		return s, nil
	}
	if !m.Ready {
		return s.withOutcome(m.Proposal, aborted), s.toAll(Message{Kind: Aborted, Proposal: m.Proposal})
	}
	s.votes = slices.Clone(s.votes)
	s.votes[m.From] = true
	if slices.Contains(s.votes, false) {
		return s, nil
	}
	return s.withOutcome(m.Proposal, certified), s.toAll(Message{Kind: Certified, Proposal: m.Proposal})
}

// handleQuery answers with the outcome of a proposal, or with the rank's vote. A
// rank that has not voted refuses the proposal, which aborts it for good.
func (s State) handleQuery(m Message) (State, []Message) {
	p := m.Proposal
	if p.Group != s.group || !s.formed {
		return s, nil
	}
	switch {
	case s.decided[p] == certified:
		return s, []Message{s.to(m.From, Message{Kind: Certified, Proposal: p})}
	case s.voted != nil && *s.voted == p:
		return s, []Message{s.to(m.From, Message{Kind: Vote, Proposal: p, Ready: true})}
	}
	return s.refuse(p), []Message{s.to(m.From, Message{Kind: Vote, Proposal: p})}
}

// withOutcome returns the state with the outcome of a proposal of this group. It
// drops the outcomes of proposals whose base and map are both older than the map
// in use, since a late Prepare for such a proposal is refused because of its base.
func (s State) withOutcome(p Proposal, o outcome) State {
	if p.Group != s.group || s.decided[p] != undecided {
		return s
	}
	kept := map[Proposal]outcome{p: o}
	for proposal, result := range s.decided {
		if proposal.Base >= s.current || proposal.Map >= s.current {
			kept[proposal] = result
		}
	}
	s.decided = kept
	if s.voted != nil && *s.voted == p {
		s.voted, s.votes = nil, nil
		if o == certified {
			s.pending = &p
		}
	}
	return s
}

// toAll returns the message addressed to each other rank.
func (s State) toAll(m Message) []Message {
	list := make([]Message, 0, len(s.epochs)-1)
	for rank := range s.epochs {
		if rank != s.rank {
			list = append(list, s.to(rank, m))
		}
	}
	return list
}

// to returns the message addressed to a rank.
func (s State) to(rank int, m Message) Message {
	m.From, m.To = s.rank, rank
	return m
}

// groupID returns the ID of the group of the processes with these epochs.
func groupID(epochs []uint64) uint64 {
	h := xxhash.New()
	for _, e := range epochs {
		_, _ = h.WriteString(strconv.FormatUint(e, 16) + " ")
	}
	return h.Sum64()
}
