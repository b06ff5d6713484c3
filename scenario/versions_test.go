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

// move is one step of a history of configurations.
type move struct {
	Kind    int // see the cases of publications.move
	Process int
	Source  int // 0 is the platform, others are peers
}

// process is an entry instance as far as configurations go.
type process struct {
	mu       sync.Mutex
	state    entry.State
	relay    *platform.Relay
	follower *platform.Follower
	unheard  map[int]bool // sources not yet heard in this life
}

// Offer takes an offered configuration.
func (p *process) Offer(offered fleet.Configuration, faults []fleet.Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = p.state.WithConfiguration(offered, faults, time.Unix(0, 0))
}

// Failed ignores that a source could not be read.
func (p *process) Failed(error) {}

func (p *process) version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Configuration.Version
}

const processes = 3

// publications is a run of the platform, its readers and their peers.
type publications struct {
	published []platform.Publication
	stale     int // how many publications the platform lags
	down      bool
	members   []*process
}

func newPublications() *publications {
	p := &publications{}
	for range processes {
		p.members = append(p.members, nil)
	}
	for i := range processes {
		p.start(i)
	}
	return p
}

func sourceName(source int) string { return fmt.Sprint(source) }

// start begins a process anew, with nothing of its last life.
func (p *publications) start(i int) {
	if old := p.members[i]; old != nil {
		_ = old.follower.Close()
	}
	m := &process{state: entry.New("e", "d"), relay: platform.NewRelay(), unheard: map[int]bool{}}
	var sources []string
	for source := range processes + 1 {
		if source != i+1 {
			sources = append(sources, sourceName(source))
			m.unheard[source] = true
		}
	}
	m.follower = platform.Follow(sources, m, platform.WithRelay(m.relay), platform.WithoutWatching())
	p.members[i] = m
}

// hear has a process hear one source.
func (p *publications) hear(i, source int) {
	if source == i+1 {
		return
	}
	m := p.members[i]
	delete(m.unheard, source)
	if source > 0 {
		m.follower.Received(sourceName(source), p.members[source-1].relay.Latest())
		return
	}
	at := len(p.published) - 1 - p.stale
	if p.down || at < 0 {
		m.follower.Received(sourceName(0), platform.Publication{})
		return
	}
	m.follower.Received(sourceName(0), p.published[at])
}

func (p *publications) publish(sound bool) {
	version := uint64(len(p.published) + 1)
	text := `{"domains": [{"name": "d"}], "services": [], "accounts": [], "targets": []}`
	if !sound {
		text = `{"zones": []}`
	}
	p.published = append(p.published, platform.NewPublication(version, []byte(text)))
}

// TestConfigurationNeverFalls plays random histories of publications, sound and
// bad, a platform that is down or stale, and processes that restart. The version
// in force never falls in a process's life, a faulty one never comes into force,
// and a restarted process that has heard all its sources knows what they know.
func TestConfigurationNeverFalls(t *testing.T) {
	setRapid("4000")
	rapid.Check(t, func(rt *rapid.T) {
		moves := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
			return move{
				Kind:    rapid.IntRange(0, 9).Draw(t, "kind"),
				Process: rapid.IntRange(0, processes-1).Draw(t, "process"),
				Source:  rapid.IntRange(0, processes).Draw(t, "source"),
			}
		}), 60, 120).Draw(rt, "moves")
		p := newPublications()
		for n, m := range moves {
			if found := p.move(m); found != "" {
				rt.Fatalf("move %d of %+v: %s", n, moves, found)
			}
		}
	})
}

func (p *publications) move(m move) string {
	before := make([]uint64, processes)
	for i, member := range p.members {
		before[i] = member.version()
	}
	switch m.Kind {
	case 0, 1:
		p.publish(m.Kind == 0)
	case 2:
		p.stale = m.Source
	case 3:
		p.down = !p.down
	case 4:
		p.start(m.Process)
		before[m.Process] = 0
	case 5:
		for source := range processes + 1 {
			p.hear(m.Process, source)
		}
	default:
		p.hear(m.Process, m.Source)
	}
	return p.check(before)
}

func (p *publications) check(before []uint64) string {
	for i, member := range p.members {
		now := member.version()
		switch {
		case now < before[i]:
			return fmt.Sprintf("process %d fell from version %d to %d", i, before[i], now)
		case now > 0 && len(p.published[now-1].Faults) > 0:
			return fmt.Sprintf("process %d has the faulty version %d in force", i, now)
		case now > 0 && len(member.unheard) > 0:
			return fmt.Sprintf("process %d took version %d before it heard all sources", i, now)
		}
	}
	return ""
}
