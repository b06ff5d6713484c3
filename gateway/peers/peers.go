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
	relayTimeout   = time.Second            // a configuration of a megabyte over a narrow link
	behindTime     = 500 * time.Millisecond // for so long a peer may know more before the store is read
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
	Loads   map[string]int `json:"loads"`            // requests in flight by target
	Silent  []string       `json:"silent,omitempty"` // targets that gave no sign
	Known   []string       `json:"known,omitempty"`  // addresses of other gateways

	Complete bool          `json:"complete"` // the gateway knows all that is published
	Revision uint64        `json:"revision"` // up to which it does
	Age      time.Duration `json:"age"`      // since the read that proved it began

	Reads  bool           `json:"reads,omitempty"`  // the gateway reads the store by itself
	Outage *time.Duration `json:"outage,omitempty"` // since it last could not, if that is not long ago
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

	mu     sync.Mutex
	heard  map[string]standing // by address; guarded by mu
	behind time.Time           // since when peers know more; zero while they don't; guarded by mu
	turn   int                 // peers greeted so far; owned by run

	learning sync.Mutex // held while a peer is asked for news, so that one is at a time
	packed   packed     // has its own lock
}

// New greets peers until Close. The seeds are read anew for each round.
func New(name, address string, seeds func() []string, client *wire.Client, service Service, inbox *follow.Inbox, clock func() time.Time) *Peers {
	p := &Peers{
		name: name, address: address, seeds: seeds, client: client, service: service, inbox: inbox, clock: clock, heard: map[string]standing{},
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
			if p.heard[address].reads && len(list) < readers {
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
		r.peers.learn(r.address, answer, asked)
	}
	return nil // a peer that gives no answer is greeted again in the next round
}

// greeting returns what the gateway tells of itself, and of others where it
// introduces itself.
func (p *Peers) greeting(introduced bool) greeting {
	revision, at, complete := p.inbox.Mirror().SyncState()
	state, own, now := p.service.State(), p.inbox.Mirror().StoreAccess(), p.clock()
	g := greeting{
		Name: p.name, Address: p.address, Loads: state.Loads(), Silent: state.Silent(now),
		Complete: complete, Revision: revision, Age: now.Sub(at), Reads: own.IsReader(now),
	}
	if since := now.Sub(own.LastFailure); since < outageKnown {
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
	p.heard[g.Address] = standingOf(g, now)
	for _, address := range g.Known {
		_, known := p.heard[address]
		if _, err := netip.ParseAddrPort(address); err == nil && !known && address != p.address && len(p.heard) < maxPeers {
			p.heard[address] = standing{heard: now}
		}
	}
	outage := p.outage(now)
	if ahead := g.Complete && g.Revision > p.inbox.Mirror().Revision(); ahead && p.behind.IsZero() {
		p.behind = now
	}
	p.mu.Unlock()
	p.service.Change(func(s dispatch.State, now time.Time) dispatch.State {
		return s.WithPeerReport(g.Name, g.Loads, g.Silent, now).WithStoreOutage(outage)
	})
}

// known returns the addresses of other gateways, sorted.
func (p *Peers) known() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, s := range p.heard {
		if p.clock().Sub(s.heard) > forgetAfter {
			delete(p.heard, address)
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
