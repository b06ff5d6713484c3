// Package peers keeps gateways in touch with each other: they tell each other
// their requests in flight, and pass on what they read of the platform while
// some of them can't read it.
//
// A gateway learns of others from seeds and from whoever it talks to. Nothing
// is agreed on; each message only adds to what its receiver knows.
package peers

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"gopkg.in/tomb.v2"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/dispatch"
	"hornbeamtray/gateway/follow"
)

const (
	greetPace      = 400 * time.Millisecond // between greetings while nothing is sent to targets
	leastPace      = 15 * time.Millisecond  // between greetings while much is sent; a target gets few requests in it
	callTimeout    = 300 * time.Millisecond // well above a round trip between failure domains
	forgetAfter    = 30 * time.Second       // a peer that was not heard for so long is no longer greeted
	maxPeers       = 512
	readers        = 6               // gateways that read the store; the loss of a failure domain leaves some
	introduceEvery = 5               // greetPaces between rounds in which a gateway tells whom it knows
	sendFan        = 12              // peers greeted as requests are sent, by turns; all of a small site
	tickFan        = 24              // peers greeted at each greetPace, by turns but for those that read the store
	heardFresh     = time.Second     // a peer that was not heard for so long may read no more
	outageKnown    = 2 * time.Second // for so long after an outage entries that lapsed in it come back
)

// Names of the calls.
const (
	greetCall = "/gateway/Greet"
	relayCall = "/gateway/Relay"
)

// greeting is what gateways tell each other of themselves.
type greeting struct {
	Name    string         `json:"name"`
	Address string         `json:"address"`
	Loads   map[string]int `json:"loads"`           // requests in flight by target
	Known   []string       `json:"known,omitempty"` // addresses of other gateways

	Complete bool          `json:"complete"` // the gateway knows all that is published
	Revision uint64        `json:"revision"` // up to which it does
	Age      time.Duration `json:"age"`      // since the read that proved it began

	Reads  bool           `json:"reads,omitempty"`  // the gateway reads the store by itself
	Outage *time.Duration `json:"outage,omitempty"` // since it last could not, if that is not long ago
}

// question asks for what changed after a revision.
type question struct {
	After uint64 `json:"after"`
}

// relayed is what a gateway knows of the platform.
type relayed struct {
	Complete bool          `json:"complete"`
	Items    []item        `json:"items"`
	Revision uint64        `json:"revision"`
	Age      time.Duration `json:"age"` // since the read that proved it began
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
}

// Service is the gateway that peers are told of.
type Service interface {
	State() dispatch.State
	// Sending returns a channel that is closed when the next request is about to
	// be sent to a target.
	Sending() <-chan struct{}
	Change(change func(dispatch.State, time.Time) dispatch.State)
}

// Peers knows the other gateways.
type Peers struct {
	tomb    tomb.Tomb
	name    string
	address string
	seeds   func() []string
	client  *wire.Client
	service Service
	inbox   *follow.Inbox
	clock   func() time.Time

	mu       sync.Mutex
	heard    map[string]time.Time // by address; guarded by mu
	standing map[string]standing  // by address; guarded by mu
	turn     int                  // peers greeted so far; owned by run
}

// standing is how a peer fares with the store.
type standing struct {
	heard  time.Time
	reads  bool
	outage time.Time // when it last could not read the store; zero for not lately
}

// New greets peers until Close. The seeds are read anew for each round.
func New(name, address string, seeds func() []string, client *wire.Client, service Service, inbox *follow.Inbox, clock func() time.Time) *Peers {
	p := &Peers{
		name: name, address: address, seeds: seeds, client: client, service: service, inbox: inbox, clock: clock, heard: map[string]time.Time{}, standing: map[string]standing{},
	}
	p.tomb.Go(p.run)
	return p
}

// Close stops greeting and waits.
func (p *Peers) Close() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// Handlers answers the calls of peers.
func (p *Peers) Handlers() wire.Handlers {
	return wire.Handlers{greetCall: p.greeted, relayCall: p.relay}
}

func (p *Peers) run() error {
	ctx := p.tomb.Context(context.Background())
	ticker := time.NewTicker(greetPace)
	defer ticker.Stop()
	ticked := true
	for ticks := 0; ; {
		sending := p.service.Sending()
		g := p.greeting(ticked && ticks%introduceEvery == 0)
		for _, address := range p.next(ticked) {
			p.tomb.Go(round{peers: p, address: address, greeting: g}.run)
		}
		clock.Pause(ctx, leastPace)
		ticked = false
		select {
		case <-ticker.C:
			ticked = true
			ticks++
		case <-sending:
		case <-ctx.Done():
			return nil
		}
	}
}

// next returns the peers to greet now. Each has its turn, so that what a gateway
// says grows no faster than the number of gateways; those that read the store
// are asked at each greetPace, since what is new comes from them.
func (p *Peers) next(ticked bool) []string {
	known, most := p.known(), sendFan
	var list []string
	if ticked {
		most = tickFan
		p.mu.Lock()
		for _, address := range known {
			if p.standing[address].reads && len(list) < readers {
				list = append(list, address)
			}
		}
		p.mu.Unlock()
	}
	for range known {
		if len(list) >= most {
			break
		}
		address := known[p.turn%len(known)]
		p.turn++
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

// round is one greeting of one peer.
type round struct {
	peers    *Peers
	address  string
	greeting greeting
}

func (r round) run() error {
	ctx, cancel := context.WithTimeout(r.peers.tomb.Context(context.Background()), callTimeout)
	defer cancel()
	asked := r.peers.clock()
	var answer greeting
	if r.peers.client.Call(ctx, r.address, greetCall, r.greeting, &answer) == nil {
		r.peers.note(answer)
		r.peers.learn(ctx, r.address, answer, asked)
	}
	return nil // a peer that gives no answer is greeted again in the next round
}

// greeting returns what the gateway tells of itself, and of others where it
// introduces itself.
func (p *Peers) greeting(introduced bool) greeting {
	g := greeting{Name: p.name, Address: p.address, Loads: p.service.State().Loads()}
	revision, at, complete := p.inbox.Mirror().Proof()
	g.Revision, g.Age, g.Complete = revision, p.clock().Sub(at), complete
	now := p.clock()
	own := p.inbox.Mirror().Standing()
	g.Reads = own.Reads(now)
	if since := now.Sub(own.Outage); since < outageKnown {
		g.Outage = &since
	}
	if introduced {
		g.Known = p.known()
	}
	return g
}

func (p *Peers) greeted(_ context.Context, read func(any) error) (any, error) {
	var g greeting
	if err := read(&g); err != nil {
		return nil, err
	}
	p.note(g)
	return p.greeting(len(g.Known) > 0), nil
}

// note takes what a peer told.
func (p *Peers) note(g greeting) {
	if g.Name == p.name || g.Name == "" {
		return
	}
	p.mu.Lock()
	now := p.clock()
	p.heard[g.Address] = now
	p.standing[g.Address] = standingOf(g, now)
	for _, address := range g.Known {
		_, known := p.heard[address]
		if _, err := netip.ParseAddrPort(address); err == nil && !known && address != p.address && len(p.heard) < maxPeers {
			p.heard[address] = now
		}
	}
	outage := p.outage(now)
	p.mu.Unlock()
	p.service.Change(func(s dispatch.State, now time.Time) dispatch.State {
		return s.WithPeer(g.Name, g.Loads, now).WithStoreOutage(outage)
	})
}

func standingOf(g greeting, now time.Time) standing {
	s := standing{heard: now, reads: g.Reads}
	if g.Outage != nil {
		s.outage = now.Add(-*g.Outage)
	}
	return s
}

// outage returns when an outage of the store was last seen: by some who read it,
// and by all who do. A store that only turns some away is in no outage. It is
// called with mu held.
func (p *Peers) outage(now time.Time) time.Time {
	last, own := time.Time{}, p.inbox.Mirror().Standing()
	if own.Reads(now) && now.Sub(own.Outage) > outageKnown {
		return time.Time{}
	}
	for _, s := range p.standing {
		switch {
		case now.Sub(s.heard) > heardFresh:
		case s.reads && s.outage.IsZero():
			return time.Time{}
		case s.outage.After(last):
			last = s.outage
		}
	}
	return last
}

// Spared reports whether enough others read the store that this gateway needn't:
// as many as it takes that come before it in an order that all know.
func (p *Peers) Spared() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, before, own := p.clock(), 0, order(p.address)
	for address, s := range p.standing {
		if s.reads && now.Sub(s.heard) < heardFresh && order(address) < own {
			before++
		}
	}
	return before >= readers
}

// order returns a number that mixes failure domains, whose addresses lie together.
func order(address string) uint64 { return xxhash.Sum64String(address) }

// learn takes what a peer has read of the platform since the last own read. Its
// age counts from before the question, so that it is never taken for newer than
// it is.
func (p *Peers) learn(ctx context.Context, address string, g greeting, asked time.Time) {
	revision, at, _ := p.inbox.Mirror().Proof()
	proved := asked.Add(-g.Age)
	switch {
	case !g.Complete || !proved.After(at) || g.Revision < revision:
	case g.Revision == revision:
		p.inbox.Take(follow.Batch{Revision: revision, At: proved})
	default:
		if batch, found := p.ask(ctx, address, revision); found {
			p.inbox.Take(batch)
		}
	}
}

// known returns the addresses of other gateways, sorted.
func (p *Peers) known() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, heard := range p.heard {
		if p.clock().Sub(heard) > forgetAfter {
			delete(p.heard, address)
			delete(p.standing, address)
			continue
		}
		list = append(list, address)
	}
	for _, address := range p.seeds() {
		if address != p.address && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

func (p *Peers) relay(_ context.Context, read func(any) error) (any, error) {
	var q question
	if err := read(&q); err != nil {
		return nil, err
	}
	batch, complete := p.inbox.Mirror().Since(q.After)
	answer := relayed{Complete: complete, Revision: batch.Revision, Age: p.clock().Sub(batch.At)}
	for _, it := range batch.Items {
		answer.Items = append(answer.Items, item(it))
	}
	return answer, nil
}

// Relayed returns the newest that any peer knows after a revision, and whether
// there is any. Its age counts from before the question, so that it is never
// taken for newer than it is.
func (p *Peers) Relayed(ctx context.Context, after uint64) (follow.Batch, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answers := make(chan follow.Batch)
	addresses := p.known()
	for _, address := range addresses {
		p.tomb.Go(ask{peers: p, ctx: ctx, address: address, after: after, answers: answers}.run)
	}
	var best follow.Batch
	for range addresses {
		if batch := <-answers; batch.At.After(best.At) {
			best = batch
		}
	}
	return best, !best.At.IsZero()
}

// ask is one question to one peer. It always sends one batch, an empty one where
// the peer gave no answer.
type ask struct {
	peers   *Peers
	ctx     context.Context
	address string
	after   uint64
	answers chan<- follow.Batch
}

func (a ask) run() error {
	batch, _ := a.peers.ask(a.ctx, a.address, a.after)
	a.answers <- batch
	return nil
}

// ask asks one peer for what changed after a revision, and reports whether it
// knows everything up to its own.
func (p *Peers) ask(ctx context.Context, address string, after uint64) (follow.Batch, bool) {
	asked := p.clock()
	var answer relayed
	if err := p.client.Call(ctx, address, relayCall, question{After: after}, &answer); err != nil || !answer.Complete {
		return follow.Batch{}, false // another peer, or the store, may know more
	}
	batch := follow.Batch{Revision: answer.Revision, At: asked.Add(-answer.Age)}
	for _, it := range answer.Items {
		batch.Items = append(batch.Items, follow.Item(it))
	}
	return batch, true
}
