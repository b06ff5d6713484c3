package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamtray/core/roster"
)

const (
	minProbeInterval = 150 * time.Millisecond // between a gateway's attempts at a lost group
	maxProbeInterval = 2 * time.Second
	probeSpacing     = 10 * time.Millisecond // mean time between the attempts of all gateways together

	repeatSlack = 100 * time.Millisecond // reports whose times differ by less mean the same evidence: gateways report ages, which grow on the way; less than minProbeInterval

	maxRankAge     = 3 * time.Second // an older report of a rank says nothing about the condition of its group
	shareEvidence  = 5 * time.Second // how long a change of a group's condition is reported to peers
	formingPenalty = 4               // requests added to the load of the ranks of a group that uses its first expert map
	siblingPenalty = 500             // requests added to the load of the group in which an earlier attempt of the request failed; less than silentPenalty
)

// GroupID identifies a group of ranks. Groups whose ranks no steward has reported
// yet have an empty name; they count as one group of their service.
type GroupID struct {
	Service string
	Name    string
}

// compare orders the groups by service and name.
func (g GroupID) compare(other GroupID) int {
	return cmp.Or(cmp.Compare(g.Service, other.Service), cmp.Compare(g.Name, other.Name))
}

// String returns the group's name as it is logged.
func (g GroupID) String() string {
	if g.Name == "" {
		return "service " + g.Service
	}
	return "group " + g.Name + " of service " + g.Service
}

// RankReport is what a gateway learned from the steward beside a target.
type RankReport struct {
	Target string // Target is the address of the target, which a restarted process keeps.
	Rank   roster.Rank
	ReadAt time.Time
}

// Condition states whether a group can work, and since when that is known.
type Condition struct {
	Group GroupID
	Lost  bool
	Epoch uint64    // Epoch is the latest epoch of the group that was known then; 0 for none.
	At    time.Time // At is the time of the latest evidence.
}

// groups holds what is known of the groups of ranks. It is never written after
// construction.
type groups struct {
	ranks      map[string]RankReport // by address of the target
	conditions map[GroupID]Condition // of the groups that were lost at least once
	nextProbes map[GroupID]time.Time // next attempt at each lost group

	interruptions map[GroupID]interruption // of the groups that were lost at least once
}

// group returns the group of a target. Its name is empty if no steward has reported
// the target's rank, as for all targets of a plain service.
func (s State) group(t roster.Target) GroupID {
	return GroupID{Service: t.Service, Name: s.groups.ranks[t.Address].Rank.Group}
}

// Rank returns the latest report about the target at an address.
func (s State) Rank(address string) (RankReport, bool) {
	report, found := s.groups.ranks[address]
	return report, found
}

// WithRanks returns the state after stewards reported the ranks of their targets to
// this gateway or to a peer. It ignores reports that are older than the known ones.
// A report of a group that does not accept requests marks it lost; one of a later
// epoch than that of the loss that accepts requests marks it working.
func (s State) WithRanks(reports []RankReport, now time.Time) State {
	ranks := maps.Clone(s.groups.ranks)
	if ranks == nil {
		ranks = map[string]RankReport{}
	}
	var changed []RankReport
	for _, r := range reports {
		if known, found := ranks[r.Target]; found && !r.ReadAt.After(known.ReadAt) {
			continue
		}
		ranks[r.Target] = r
		changed = append(changed, r)
	}
	s.groups.ranks = ranks
	for _, r := range changed {
		s = s.withRankEvidence(r, now)
	}
	return s
}

// withRankEvidence returns the state with the condition of a group that follows from
// the report of one of its ranks.
func (s State) withRankEvidence(r RankReport, now time.Time) State {
	service, found := s.serviceAt(r.Target)
	if !found || r.Rank.Group == "" || now.Sub(r.ReadAt) > maxRankAge {
		return s
	}
	id := GroupID{Service: service, Name: r.Rank.Group}
	known := s.groups.conditions[id]
	switch {
	case !r.ReadAt.After(known.At):
	case !r.Rank.Open && !known.Lost && r.Rank.Epoch >= known.Epoch:
		s = s.withCondition(Condition{Group: id, Lost: true, Epoch: r.Rank.Epoch, At: r.ReadAt}, "a steward reported the group as not open", now)
	case r.Rank.Open && known.Lost && r.Rank.Epoch > known.Epoch:
		s = s.withCondition(Condition{Group: id, Epoch: r.Rank.Epoch, At: r.ReadAt}, "a steward reported the group as open", now)
	}
	return s
}

// serviceAt returns the service of the target at an address.
func (s State) serviceAt(address string) (string, bool) {
	for _, t := range s.Roster.Targets() {
		if t.Address == address {
			return t.Service, true
		}
	}
	return "", false
}

// WithGroupLost returns the state after a target reported that its group can't
// work. Until there is evidence that the group works again, Choose limits it to
// one attempt per probe interval.
func (s State) WithGroupLost(t roster.Target, now time.Time) State {
	id := s.group(t)
	return s.withCondition(Condition{Group: id, Lost: true, Epoch: s.epoch(id), At: now}, "a target said that its group is lost", now)
}

// WithGroupRecovered returns the state after a target began an answer. If its group
// was lost, the ejections of the group's targets end.
func (s State) WithGroupRecovered(t roster.Target, now time.Time) State {
	id := s.group(t)
	if !s.groups.conditions[id].Lost {
		return s
	}
	return s.withCondition(Condition{Group: id, Epoch: s.epoch(id), At: now}, "a target answered", now)
}

// WithPeerConditions returns the state after a peer reported conditions of groups.
// Of two contradicting ones, the later counts. One that is known already changes nothing:
// it would put off the next attempt at a lost group.
func (s State) WithPeerConditions(conditions []Condition, now time.Time) State {
	for _, c := range conditions {
		known := s.groups.conditions[c.Group]
		repeated := c.Lost == known.Lost && c.At.Sub(known.At) <= repeatSlack
		if c.At.After(known.At) && !c.At.After(now) && !repeated {
			s = s.withCondition(c, "a peer reported it", now)
		}
	}
	return s
}

// withCondition returns the state with a new condition of a group.
func (s State) withCondition(c Condition, cause string, now time.Time) State {
	before := s.groups.conditions[c.Group]
	conditions, nextProbes := maps.Clone(s.groups.conditions), maps.Clone(s.groups.nextProbes)
	if conditions == nil {
		conditions, nextProbes = map[GroupID]Condition{}, map[GroupID]time.Time{}
	}
	conditions[c.Group] = c
	delete(nextProbes, c.Group)
	if c.Lost {
		nextProbes[c.Group] = now.Add(s.probeInterval())
	}
	s.groups.conditions, s.groups.nextProbes = conditions, nextProbes
	s.groups.interruptions = maps.Clone(s.groups.interruptions)
	if s.groups.interruptions == nil {
		s.groups.interruptions = map[GroupID]interruption{}
	}
	if outage := s.groups.interruptions[c.Group]; c.Lost {
		s.groups.interruptions[c.Group] = outage.withBegin(c.At)
	} else {
		s.groups.interruptions[c.Group] = outage.withEnd(c.At)
	}
	switch {
	case c.Lost == before.Lost:
	case c.Lost:
		s.Trail = s.Trail.With(now, c.Group.String(), cause, "serving", "lost")
	default:
		s.Trail = s.Trail.With(now, c.Group.String(), cause, "lost", "serving")
		s = s.withoutEjections(c.Group)
	}
	return s
}

// epoch returns the latest epoch of a group that a steward reported.
func (s State) epoch(id GroupID) uint64 {
	epoch := uint64(0)
	for _, r := range s.groups.ranks {
		if r.Rank.Group == id.Name {
			epoch = max(epoch, r.Rank.Epoch)
		}
	}
	return epoch
}

// probeInterval returns the time between this gateway's attempts at a lost group. It
// grows with the number of gateways, which all try, and differs between them: after
// the fastest one tried, the others wait anew.
func (s State) probeInterval() time.Duration {
	interval := min(max(minProbeInterval, time.Duration(s.peers.count()+1)*probeSpacing), maxProbeInterval)
	spread := float64(xxhash.Sum64String(s.Name)) / (1 << 64)
	return interval + time.Duration(spread/2*float64(interval))
}

// Conditions returns the conditions of groups that changed recently, for peers.
func (s State) Conditions(now time.Time) []Condition {
	var list []Condition
	for _, c := range s.groups.conditions {
		if now.Sub(c.At) <= shareEvidence {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b Condition) int { return a.Group.compare(b.Group) })
	return list
}

// Lost reports whether the target's group can't work.
func (s State) Lost(t roster.Target) bool { return s.groups.conditions[s.group(t)].Lost }

// forming reports whether the target's group formed anew after a loss and still uses
// its first expert map, with which passes take long.
func (s State) forming(t roster.Target) bool {
	rank, known := s.groups.ranks[t.Address]
	return known && rank.Rank.Size > 0 && rank.Rank.Map == 0 && !s.groups.conditions[s.group(t)].At.IsZero()
}

// withoutEjections returns the state with no target of the group ejected. While the
// group was lost, attempts failed because of the group, not the target.
func (s State) withoutEjections(id GroupID) State {
	for _, t := range s.Roster.Targets() {
		if s.group(t) == id {
			s = s.withoutAttemptRecord(t.ID)
		}
	}
	return s
}
