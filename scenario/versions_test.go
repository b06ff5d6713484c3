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
	Source  int // 0 is the platform, n > 0 is process n-1; for Kind 2 the new lag
}

// process holds the part of an entry instance that follows the configuration.
type process struct {
	mu       sync.Mutex
	state    entry.State
	relay    *platform.Relay
	follower *platform.Follower
	unread   map[int]bool // sources that were not tried since the last restart
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
	lag       int // number of the latest publications that the platform does not return yet
	down      bool
	processes []*process
}

func newSimulation() *simulation {
	s := &simulation{}
	for range processCount {
		s.processes = append(s.processes, nil)
	}
	for i := range processCount {
		s.restart(i)
	}
	return s
}

func sourceName(source int) string { return fmt.Sprint(source) }

// restart starts process i with empty state, and closes the previous one if any.
func (s *simulation) restart(i int) {
	if old := s.processes[i]; old != nil {
		_ = old.follower.Close()
	}
	p := &process{state: entry.New("e", "d"), relay: platform.NewRelay(), unread: map[int]bool{}}
	var sources []string
	for source := range processCount + 1 {
		if source != i+1 {
			sources = append(sources, sourceName(source))
			p.unread[source] = true
		}
	}
	p.follower = platform.Follow(sources, p, platform.WithRelay(p.relay), platform.WithoutWatching())
	s.processes[i] = p
}

// read lets process i try to read one source, without result if the platform is
// down. It does nothing if the source is the process itself.
func (s *simulation) read(i, source int) {
	if source == i+1 {
		return
	}
	p := s.processes[i]
	delete(p.unread, source)
	if source > 0 {
		p.follower.Received(sourceName(source), s.processes[source-1].relay.Latest())
		return
	}
	at := len(s.published) - 1 - s.lag
	if s.down || at < 0 {
		p.follower.Received(sourceName(0), platform.Publication{})
		return
	}
	p.follower.Received(sourceName(0), s.published[at])
}

func (s *simulation) publish(valid bool) {
	version := uint64(len(s.published) + 1)
	text := `{"domains": [{"name": "d"}], "services": [], "accounts": [], "targets": []}`
	if !valid {
		text = `{"zones": []}`
	}
	s.published = append(s.published, platform.NewPublication(version, []byte(text)))
}

// TestConfigurationNeverFalls runs random sequences of valid and invalid
// publications, with a platform that is down or stale and processes that restart.
// The version in force in a process decreases only when the process restarts, an
// invalid version is never in force, and a process applies no version before it has
// tried to read all its sources.
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
		s := newSimulation()
		for n, a := range actions {
			if violation := s.apply(a); violation != "" {
				rt.Fatalf("action %d of %+v: %s", n, actions, violation)
			}
		}
	})
}

// apply performs one action and returns the violated guarantee, or "".
func (s *simulation) apply(a action) string {
	before := make([]uint64, processCount)
	for i, p := range s.processes {
		before[i] = p.version()
	}
	switch a.Kind {
	case 0, 1:
		s.publish(a.Kind == 0)
	case 2:
		s.lag = a.Source
	case 3:
		s.down = !s.down
	case 4:
		s.restart(a.Process)
		before[a.Process] = 0
	case 5:
		for source := range processCount + 1 {
			s.read(a.Process, source)
		}
	default:
		s.read(a.Process, a.Source)
	}
	return s.check(before)
}

// check compares the processes with their versions before the action, and returns
// the violated guarantee, or "".
func (s *simulation) check(before []uint64) string {
	for i, p := range s.processes {
		version := p.version()
		switch {
		case version < before[i]:
			return fmt.Sprintf("process %d went back from version %d to %d", i, before[i], version)
		case version > 0 && len(s.published[version-1].Faults) > 0:
			return fmt.Sprintf("process %d has the invalid version %d in force", i, version)
		case version > 0 && len(p.unread) > 0:
			return fmt.Sprintf("process %d applied version %d before it tried to read all sources", i, version)
		}
	}
	return ""
}
