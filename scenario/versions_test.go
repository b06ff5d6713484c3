package scenario

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamtray/adapter/platform"
	"hornbeamtray/core/entry"
	"hornbeamtray/core/fleet"
)

// action is one step of a simulation.
type action struct {
	Kind    int // see simulation.apply
	Process int
	Source  int // 0 is the platform, others are peers; for Kind 2 the new lag
}

// process holds the part of an entry instance that follows the configuration.
type process struct {
	mu       sync.Mutex
	state    entry.State
	relay    *platform.Relay
	follower *platform.Follower
	unread   map[int]bool // sources not read since the last restart
}

// Offer applies an offered configuration.
func (p *process) Offer(offered fleet.Configuration, faults []fleet.Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = p.state.WithConfiguration(offered, faults, time.Unix(0, 0))
}

// Failed ignores a failed read of a source.
func (p *process) Failed(error) {}

func (p *process) version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Configuration.Version
}

const processCount = 3

// simulation is a platform with the processes that read it and each other.
type simulation struct {
	published []platform.Publication
	lag       int // number of publications that the platform is behind
	down      bool
	members   []*process
}

func newSimulation() *simulation {
	p := &simulation{}
	for range processCount {
		p.members = append(p.members, nil)
	}
	for i := range processCount {
		p.restart(i)
	}
	return p
}

func sourceName(source int) string { return fmt.Sprint(source) }

// restart starts process i with empty state, and closes the previous one if any.
func (p *simulation) restart(i int) {
	if old := p.members[i]; old != nil {
		_ = old.follower.Close()
	}
	m := &process{state: entry.New("e", "d"), relay: platform.NewRelay(), unread: map[int]bool{}}
	var sources []string
	for source := range processCount + 1 {
		if source != i+1 {
			sources = append(sources, sourceName(source))
			m.unread[source] = true
		}
	}
	m.follower = platform.Follow(sources, m, platform.WithRelay(m.relay), platform.WithoutWatching())
	p.members[i] = m
}

// read lets process i read one source. It does nothing if the source is the process
// itself.
func (p *simulation) read(i, source int) {
	if source == i+1 {
		return
	}
	m := p.members[i]
	delete(m.unread, source)
	if source > 0 {
		m.follower.Received(sourceName(source), p.members[source-1].relay.Latest())
		return
	}
	at := len(p.published) - 1 - p.lag
	if p.down || at < 0 {
		m.follower.Received(sourceName(0), platform.Publication{})
		return
	}
	m.follower.Received(sourceName(0), p.published[at])
}

func (p *simulation) publish(valid bool) {
	version := uint64(len(p.published) + 1)
	text := `{"domains": [{"name": "d"}], "services": [], "accounts": [], "targets": []}`
	if !valid {
		text = `{"zones": []}`
	}
	p.published = append(p.published, platform.NewPublication(version, []byte(text)))
}

// TestConfigurationNeverFalls runs random sequences of valid and invalid
// publications, with a platform that is down or stale and processes that restart.
// The version in force never decreases until a process restarts, an invalid version
// is never in force, and a process applies no version before it has read all its
// sources.
func TestConfigurationNeverFalls(t *testing.T) {
	configureRapid("4000")
	rapid.Check(t, func(rt *rapid.T) {
		actions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
			return action{
				Kind:    rapid.IntRange(0, 9).Draw(t, "kind"),
				Process: rapid.IntRange(0, processCount-1).Draw(t, "process"),
				Source:  rapid.IntRange(0, processCount).Draw(t, "source"),
			}
		}), 60, 120).Draw(rt, "actions")
		p := newSimulation()
		for n, m := range actions {
			if violation := p.apply(m); violation != "" {
				rt.Fatalf("action %d of %+v: %s", n, actions, violation)
			}
		}
	})
}

// apply performs one action and returns the violated guarantee, or "".
func (p *simulation) apply(m action) string {
	before := make([]uint64, processCount)
	for i, member := range p.members {
		before[i] = member.version()
	}
	switch m.Kind {
	case 0, 1:
		p.publish(m.Kind == 0)
	case 2:
		p.lag = m.Source
	case 3:
		p.down = !p.down
	case 4:
		p.restart(m.Process)
		before[m.Process] = 0
	case 5:
		for source := range processCount + 1 {
			p.read(m.Process, source)
		}
	default:
		p.read(m.Process, m.Source)
	}
	return p.check(before)
}

// check compares the processes with their versions before the action, and returns
// the violated guarantee, or "".
func (p *simulation) check(before []uint64) string {
	for i, member := range p.members {
		version := member.version()
		switch {
		case version < before[i]:
			return fmt.Sprintf("process %d went back from version %d to %d", i, before[i], version)
		case version > 0 && len(p.published[version-1].Faults) > 0:
			return fmt.Sprintf("process %d has the invalid version %d in force", i, version)
		case version > 0 && len(member.unread) > 0:
			return fmt.Sprintf("process %d applied version %d before it read all sources", i, version)
		}
	}
	return ""
}
