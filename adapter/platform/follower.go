package platform

import (
	"errors"
	"net"
	"net/url"
	"sync"
	"time"

	"hornbeamtray/adapter/document"
	"hornbeamtray/core/fleet"
)

// firstRoundTimeout bounds how long a Follower waits for a first result from each
// source.
const firstRoundTimeout = 2 * time.Second

// Publication is one published configuration. If it has faults, its Configuration
// has no values except the version.
type Publication struct {
	Version       uint64
	Text          []byte
	Configuration fleet.Configuration
	Faults        []fleet.Fault
}

// NewPublication parses a published text. If the text has faults, they are in the
// publication's Faults.
func NewPublication(version uint64, text []byte) Publication {
	configuration, err := document.ParseConfiguration(text)
	var faults document.Faults
	if errors.As(err, &faults) {
		return Publication{Version: version, Text: text, Configuration: fleet.NewConfiguration().WithVersion(version), Faults: coreFaults(faults)}
	}
	return Publication{Version: version, Text: text, Configuration: configuration.WithVersion(version)}
}

// Receiver receives configurations from a Follower.
type Receiver interface {
	// Offer handles a published configuration and its faults, if any.
	Offer(offered fleet.Configuration, faults []fleet.Fault)
	// Failed handles an error from reading a source.
	Failed(err error)
}

// Follower reads configurations from several sources: the platform and peers.
//
// A process keeps no configuration across restarts, and the platform may be stale
// when the process starts. A Follower therefore offers nothing until each source has given
// a first result or firstRoundTimeout has passed. It then offers the best of the
// publications received, as defined by isBetter.
type Follower struct {
	receiver Receiver
	relay    *Relay
	target   string
	local    net.IP

	withoutWatchers bool
	watchers        []*watcher
	timer           *time.Timer

	mu             sync.Mutex
	pending        map[string]bool // guarded by mu; sources without a first result
	firstRoundDone bool            // guarded by mu; whether the wait for first results is over
	best           Publication     // guarded by mu; the best publication of the first round
}

// Option configures a Follower.
type Option func(*Follower)

// WithRelay puts publications without faults into a relay for peers.
func WithRelay(relay *Relay) Option {
	return func(f *Follower) { f.relay = relay }
}

// WithTarget names a target in each read, so that a peer sends only the part of a
// configuration that concerns the target. The platform may send all of it.
func WithTarget(target string) Option {
	return func(f *Follower) { f.target = target }
}

// WithLocal makes connections originate from ip.
func WithLocal(ip net.IP) Option {
	return func(f *Follower) { f.local = ip }
}

// WithoutWatching makes the Follower read no source itself. The caller passes the
// results of each source to Received.
func WithoutWatching() Option {
	return func(f *Follower) { f.withoutWatchers = true }
}

// Follow follows the configurations published at sources until Close.
func Follow(sources []string, receiver Receiver, options ...Option) *Follower {
	f := &Follower{receiver: receiver, pending: map[string]bool{}}
	for _, option := range options {
		option(f)
	}
	query := url.Values{}
	if f.target != "" {
		query.Set("target", f.target)
	}
	for _, source := range sources {
		f.pending[source] = true
	}
	f.timer = time.AfterFunc(firstRoundTimeout, f.firstRoundTimedOut)
	if f.withoutWatchers {
		return f
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, source := range sources {
		f.watchers = append(f.watchers, newWatcher(source, ConfigurationPath, query, f.local, &sourceReader{follower: f, source: source}))
	}
	return f
}

// Close stops the watchers and waits until they have stopped.
func (f *Follower) Close() error {
	f.timer.Stop()
	for _, w := range f.watchers {
		w.tomb.Kill(nil)
	}
	var first error
	for _, w := range f.watchers {
		if err := w.Close(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Received handles the result of reading a source: a publication, or the zero
// Publication if there was nothing new or the read failed.
func (f *Follower) Received(source string, p Publication) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstRoundDone {
		f.offer(p)
		return
	}
	if isBetter(p, f.best) {
		f.best = p
	}
	delete(f.pending, source)
	if len(f.pending) == 0 {
		f.finishFirstRound()
	}
}

// firstRoundTimedOut ends the first round after firstRoundTimeout.
func (f *Follower) firstRoundTimedOut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishFirstRound()
}

// finishFirstRound ends the first round and offers its best publication. The
// caller holds f.mu.
func (f *Follower) finishFirstRound() {
	if f.firstRoundDone {
		return
	}
	f.firstRoundDone = true
	f.offer(f.best)
}

// offer passes a publication to the receiver. The caller holds f.mu, which keeps
// offers in order.
func (f *Follower) offer(p Publication) {
	if p.Version == 0 {
		return
	}
	if f.relay != nil && len(p.Faults) == 0 {
		f.relay.Put(p)
	}
	f.receiver.Offer(p.Configuration, p.Faults)
	for _, w := range f.watchers {
		w.skip(p.Version)
	}
}

// isBetter reports whether p is to be preferred to other: a publication without
// faults to one with faults, then the higher version.
func isBetter(p, other Publication) bool {
	if valid, otherValid := len(p.Faults) == 0, len(other.Faults) == 0; other.Version > 0 && valid != otherValid {
		return valid
	}
	return p.Version > other.Version
}

// sourceReader passes what is read from one source to a Follower.
type sourceReader struct {
	follower *Follower
	source   string
}

func (s *sourceReader) received(version uint64, text []byte) {
	withLowMemory(len(text), func() { s.follower.Received(s.source, NewPublication(version, text)) })
}

func (s *sourceReader) unchanged() { s.follower.Received(s.source, Publication{}) }

func (s *sourceReader) failed(err error) {
	s.follower.receiver.Failed(err)
	s.follower.Received(s.source, Publication{})
}

// coreFaults returns the faults without their line numbers.
func coreFaults(faults document.Faults) []fleet.Fault {
	list := make([]fleet.Fault, len(faults))
	for i, f := range faults {
		list[i] = f.Fault
	}
	return list
}
