package group

import "slices"

// tagBits is the number of low bits of an epoch that hold the tag, which no two
// processes share. The bits above it order the processes of a rank.
const tagBits = 32

// Epoch returns the epoch of a process. A later process of the same rank should have
// a higher order, such as a clock reading; the tag must be unique to the process.
func Epoch(order, tag uint64) uint64 {
	return order<<tagBits | tag&(1<<tagBits-1)
}

// unformed returns the state outside any group, before any message for the
// current epochs arrived. It drops all proposals of the earlier group. That group
// can't step any more, since it needs all of its processes to step.
func (s State) unformed() State {
	s.formed, s.group, s.step = false, 0, 0
	s.voted, s.pending, s.votes, s.decided = nil, nil, nil, nil
	s.helloMaps, s.joinedMaps = make([]uint64, len(s.epochs)), make([]uint64, len(s.epochs))
	s.helloMaps[s.rank] = s.current
	return s
}

// formingMessages returns the messages that a rank resends until the group has
// formed.
func (s State) formingMessages() []Message {
	list := s.toAll(Message{Kind: Hello, Epochs: s.epochs, Map: s.current, WantsReply: true})
	if s.joinedMaps[s.rank] > 0 {
		list = append(list, s.toAll(s.joinedMessage())...)
	}
	return list
}

func (s State) joinedMessage() Message {
	return Message{Kind: Joined, Epochs: s.epochs, Map: s.joinedMaps[s.rank]}
}

// handleMembership handles a Hello or a Joined.
func (s State) handleMembership(m Message) (State, []Message) {
	if own := m.Epochs[s.rank]; own > s.epochs[s.rank] {
		// The clock of an earlier process of the rank was ahead of this one's. Since
		// this process receives the rank's messages, it is the current one and takes
		// a higher epoch.
		s.epochs = slices.Clone(s.epochs)
		s.epochs[s.rank] = Epoch(own>>tagBits+1, s.epochs[s.rank])
		s = s.unformed()
	}
	if merged, newer := s.mergeEpochs(m.Epochs); newer {
		s = merged.unformed()
	}
	if !slices.Equal(m.Epochs, s.epochs) {
		// The sender's epochs are out of date.
		return s, s.reply(m)
	}
	if s.formed {
		return s, s.reply(m)
	}
	if m.Kind == Hello {
		s.helloMaps = withValue(s.helloMaps, m.From, m.Map)
	} else {
		s.joinedMaps = withValue(s.joinedMaps, m.From, m.Map)
	}
	return s.Join(), nil
}

// reply returns the answers to a Hello that wants a reply: a Hello and, if the rank
// has joined, a Joined. The Hello carries the map that the rank had in use when this
// group began to form, not a later one.
func (s State) reply(m Message) []Message {
	if !m.WantsReply {
		return nil
	}
	list := []Message{s.to(m.From, Message{Kind: Hello, Epochs: s.epochs, Map: s.helloMaps[s.rank]})}
	if s.joinedMaps[s.rank] > 0 {
		list = append(list, s.to(m.From, s.joinedMessage()))
	}
	return list
}

// Join returns the state after two changes, each made only if its condition holds now.
// First, the rank joins if it has a Hello from every other rank and has loaded the map
// that AgreedMap returns, or a newer one. Second, the group is formed if this rank has
// joined and has a Joined from every other rank.
func (s State) Join() State {
	agreed, known := s.AgreedMap()
	if s.formed || !known {
		return s
	}
	if s.joinedMaps[s.rank] == 0 && s.loaded >= agreed {
		s.joinedMaps = withValue(s.joinedMaps, s.rank, agreed)
	}
	if slices.Contains(s.joinedMaps, 0) {
		return s
	}
	s.formed = true
	s.group, s.current, s.step = groupID(s.epochs), agreed, 0
	return s
}

// mergeEpochs returns the state with the newest known epoch of each rank, and
// reports whether any epoch changed.
func (s State) mergeEpochs(epochs []uint64) (State, bool) {
	merged := slices.Clone(s.epochs)
	for rank, e := range epochs {
		merged[rank] = max(merged[rank], e)
	}
	if slices.Equal(merged, s.epochs) {
		return s, false
	}
	s.epochs = merged
	return s, true
}

// withValue returns a copy of values with value at index at.
func withValue(values []uint64, at int, value uint64) []uint64 {
	values = slices.Clone(values)
	values[at] = value
	return values
}
