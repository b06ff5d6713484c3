// Package peers exchanges reports between gateways: their requests in flight,
// the targets that don't respond to them, and how far they are in sync with the
// platform. A gateway that is behind a peer fetches the changes from it.
//
// A gateway finds peers through seeds, the reports it receives and the
// addresses in them. There is no agreement protocol: each gateway acts on the
// reports that it has received.
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
	reportInterval    = 400 * time.Millisecond // between reports while no requests are sent to targets
	minReportInterval = 15 * time.Millisecond  // between reports while many requests are sent; few of them reach the same target in this time
	reportTimeout     = 300 * time.Millisecond // well above a round trip between failure domains
	relayTimeout      = time.Second            // enough for a configuration of a megabyte over a slow link
	behindTimeout     = 500 * time.Millisecond // a gateway that is behind a peer for longer reads the store itself
	forgetAfter       = 30 * time.Second       // a peer without a report for longer is forgotten, unless it is a seed
	runningTimeout    = 5 * time.Second        // a peer without a report for longer does not count as running; with some hundred gateways a peer's turn comes every few seconds, see turnTicks
	maxPeers          = 512
	readerCount       = 6                       // gateways that read the store; some remain if a failure domain is lost
	addressTicks      = 5                       // reportIntervals between reports that include the addresses of peers and all ranks known
	firstTicks        = 10                      // reportIntervals after the start in which all reports include them
	sendFanout        = 12                      // peers that get a report when a request is sent, in rotation; a small site has no more peers
	tickFanout        = 24                      // peers that get a report at each reportInterval: readers of the store first, others in rotation
	minRotation       = 12                      // peers in rotation at each reportInterval
	turnTicks         = 10                      // reportIntervals in which each peer gets a report at least once, so that none is taken for stopped
	reportLifetime    = time.Second             // how long a report shows that a peer reads the store
	failureLifetime   = 2500 * time.Millisecond // how long an outage of the store is reported; targets whose entries expired in it are listed again by then
)

// Names of the calls between gateways.
const (
	reportCall = "/gateway/Greet"
	relayCall  = "/gateway/Relay"
	permitCall = "/gateway/Permit"
)

// report is a gateway's state as its peers receive it.
type report struct {
	Name    string         `json:"name"`
	Address string         `json:"address"`
	Domain  string         `json:"domain"`           // failure domain of the gateway
	Loads   map[string]int `json:"loads"`            // requests in flight, by target
	Home    map[string]int `json:"home,omitempty"`   // total load of the targets of the gateway's cell
	Silent  []string       `json:"silent,omitempty"` // IDs of targets that do not respond to the gateway
	Peers   []string       `json:"known,omitempty"`  // addresses of other gateways

	Full     bool          `json:"full,omitempty"` // the report includes Home and Ranks, and the response is to include them
	Listed   bool          `json:"complete"`       // the gateway has listed everything at least once
	Revision uint64        `json:"revision"`       // last revision that the gateway covers
	Version  uint64        `json:"version"`        // highest version of a value that it holds
	SyncAge  time.Duration `json:"age"`            // since the sync time of the gateway's mirror

	Ranks      []rankReport `json:"ranks,omitempty"`  // what stewards reported to the gateway itself
	Conditions []condition  `json:"groups,omitempty"` // of groups of ranks

	Suspicions []suspicion `json:"suspects,omitempty"` // parts of prompts that may crash targets
	Departures []departure `json:"leaving,omitempty"`  // targets that said in an answer that they leave
	Limits     []limit     `json:"limits,omitempty"`   // limits that targets named to the gateway itself

	IsReader   bool           `json:"reads,omitempty"`  // the gateway itself reads the store
	FailureAge *time.Duration `json:"outage,omitempty"` // since the last failed read of an outage; nil if over failureLifetime, or if others read the store meanwhile
	BeganAge   time.Duration  `json:"began,omitempty"`  // since its last successful read began
	EndedAge   time.Duration  `json:"ended,omitempty"`  // since that read ended; 0 if there was none
}

// Service is the gateway whose state is reported to peers.
type Service interface {
	State() dispatch.State
	// Sending returns a channel that is closed when the next request is about to
	// be sent to a target.
	Sending() <-chan struct{}
	Change(change func(dispatch.State, time.Time) dispatch.State)
}

// Peers exchanges reports with the other gateways.
type Peers struct {
	tomb    tomb.Tomb
	name    string
	address string
	seeds   func() []string
	client  *wire.Client
	service Service
	inbox   *follow.Inbox
	clock   func() time.Time
	ranks   func(all bool) []dispatch.RankReport

	mu          sync.Mutex
	statuses    map[string]peerStatus // by address; guarded by mu
	heardAt     time.Time             // when a peer last reported; guarded by mu
	heardSince  time.Time             // since when peers have reported without a silence of all of them; guarded by mu
	behindSince time.Time             // when a peer first reported a newer revision; zero once this gateway has caught up; guarded by mu
	division    dispatch.Division     // owned by run
	told        map[string]bool       // peers that got a report since the last tick because a request was sent; owned by run
	cursor      int                   // position in the rotation of peers; owned by run

	startedAt time.Time
	failed    failedKeepers // has its own lock

	fetching   sync.Mutex // held while syncFrom fetches, so that it fetches from one peer at a time
	compressor compressor // has its own lock
}

// Option configures Peers.
type Option func(*Peers)

// WithRanks sets a function that returns what stewards reported to this gateway, all of
// it or what changed recently. Reports to peers include it.
func WithRanks(ranks func(all bool) []dispatch.RankReport) Option {
	return func(p *Peers) { p.ranks = ranks }
}

// New starts exchanging reports with peers until Close. It calls seeds each time
// that it needs the addresses of peers, since they may change.
func New(name, address string, seeds func() []string, client *wire.Client, service Service, inbox *follow.Inbox, clock func() time.Time, options ...Option) *Peers {
	p := &Peers{
		name: name, address: address, seeds: seeds, client: client, service: service, inbox: inbox, clock: clock, statuses: map[string]peerStatus{},
		told: map[string]bool{}, startedAt: clock(), ranks: func(bool) []dispatch.RankReport { return nil },
	}
	for _, option := range options {
		option(p)
	}
	p.tomb.Go(p.run)
	return p
}

// Close stops the exchange of reports and waits until it has stopped.
func (p *Peers) Close() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// Handlers returns the handlers of calls from peers.
func (p *Peers) Handlers() wire.Handlers {
	return wire.Handlers{reportCall: p.handleReport, relayCall: p.handleRelay, permitCall: p.handlePermit}
}

func (p *Peers) run() error {
	ctx := p.tomb.Context(context.Background())
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	ticked := true
	for ticks := 0; ; {
		sending := p.service.Sending()
		if ticked {
			p.updateDivision()
			p.updateGateways()
		}
		r := p.newReport(ticked, ticked && (ticks%addressTicks == 0 || ticks < firstTicks))
		for _, address := range p.nextPeers(ticked) {
			p.tomb.Go(exchange{peers: p, address: address, report: r}.run)
		}
		clock.Pause(ctx, minReportInterval)
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

// nextPeers returns the addresses of the peers that get a report now. Each call
// selects a limited number in rotation, so that the number of all reports grows
// in proportion to the number of gateways. At a tick of reportInterval, peers that
// read the store come first, since changes come from them. On a site that is divided
// into cells, a request that is sent is reported to those that use its target; at the
// next tick, they learn what has ended meanwhile.
func (p *Peers) nextPeers(ticked bool) []string {
	if audience := p.service.State().Audience(); !ticked && len(audience) > 0 {
		for _, address := range audience {
			p.told[address] = true
		}
		return slices.DeleteFunc(audience, func(address string) bool { return address == p.address })
	}
	addresses, limit := p.addresses(), sendFanout
	var list []string
	if ticked {
		for _, address := range addresses {
			if p.told[address] {
				list = append(list, address)
			}
		}
		clear(p.told)
		rotation := max(minRotation, (len(addresses)+turnTicks-1)/turnTicks)
		limit = max(tickFanout, len(list)+readerCount+rotation)
		readers := 0
		p.mu.Lock()
		for _, address := range addresses {
			if p.statuses[address].isReader && readers < readerCount && !slices.Contains(list, address) {
				list = append(list, address)
				readers++
			}
		}
		p.mu.Unlock()
	}
	for range addresses {
		if len(list) >= limit {
			break
		}
		address := addresses[p.cursor%len(addresses)]
		p.cursor++
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

// exchange sends one report to one peer, which responds with its own.
type exchange struct {
	peers   *Peers
	address string
	report  report
}

func (e exchange) run() error {
	ctx, cancel := context.WithTimeout(e.peers.tomb.Context(context.Background()), reportTimeout)
	defer cancel()
	sentAt := e.peers.clock()
	var response report
	if e.peers.client.Call(ctx, e.address, reportCall, e.report, &response) == nil {
		e.peers.record(response)
		e.peers.recordRead(response, sentAt)
		e.peers.syncFrom(e.address, response, sentAt)
	}
	return nil // a peer that did not respond gets another report in its next turn
}

// updateDivision computes the division of the site from the peers that run.
func (p *Peers) updateDivision() {
	now := p.clock()
	gateways := map[string][]string{p.service.State().Domain: {p.address}}
	p.mu.Lock()
	for address, s := range p.statuses {
		if now.Sub(s.reportedAt) <= runningTimeout && s.domain != "" {
			gateways[s.domain] = append(gateways[s.domain], address)
		}
	}
	p.mu.Unlock()
	d := dispatch.NewDivision(p.address, gateways)
	if d.Equal(p.division) {
		return
	}
	p.division = d
	p.service.Change(func(s dispatch.State, _ time.Time) dispatch.State { return s.WithDivision(d) })
}

// updateGateways tells the service which gateways share the bounds on targets.
func (p *Peers) updateGateways() {
	addresses := p.addresses()
	p.service.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithGateways(addresses, now) })
}

// newReport returns this gateway's report. If full is set, it includes the loads of
// the cell and the ranks of targets that changed; with withPeers, all ranks and
// suspected parts known and the addresses of the peers.
func (p *Peers) newReport(full, withPeers bool) report {
	revision, syncedAt, listed := p.inbox.Mirror().SyncState()
	state, access, now := p.service.State(), p.inbox.Mirror().StoreAccess(), p.clock()
	r := report{
		Name: p.name, Address: p.address, Domain: state.Domain, Loads: state.Loads(), Silent: state.Silent(now),
		Listed: listed, Revision: revision, Version: p.inbox.Mirror().Version(), SyncAge: now.Sub(syncedAt), IsReader: access.IsReader(now),
		Conditions: encodeConditions(state.Conditions(now), now),
		Suspicions: encodeSuspicions(state.Suspicions(withPeers, now), now), Departures: encodeDepartures(state.Departures(now), now),
	}
	if full {
		r.Full, r.Home, r.Ranks = true, state.HomeLoads(), encodeRanks(p.ranks(withPeers), now)
		r.Limits = encodeLimits(state.Limits(withPeers, now), now)
	}
	if since := now.Sub(access.LastFailure); since < failureLifetime && access.LastFailure.After(state.Roster.ContradictedAt()) {
		r.FailureAge = &since
	}
	if !access.LastRead.IsZero() {
		r.BeganAge, r.EndedAge = now.Sub(access.ReadBegan), max(1, now.Sub(access.LastRead))
	}
	if withPeers {
		r.Peers = p.met()
	}
	return r
}

func (p *Peers) handleReport(_ context.Context, read func(any) error) (any, error) {
	var r report
	if err := read(&r); err != nil {
		return nil, err
	}
	p.record(r)
	return p.newReport(r.Full, len(r.Peers) > 0), nil
}

// record stores a peer's report and applies it to the gateway's state.
func (p *Peers) record(r report) {
	if r.Name == p.name || r.Name == "" {
		return
	}
	p.mu.Lock()
	now := p.clock()
	if now.Sub(p.heardAt) > silenceOfAll {
		p.heardSince = now
	}
	p.heardAt = now
	p.statuses[r.Address] = statusOf(r, now)
	for _, address := range r.Peers {
		_, found := p.statuses[address]
		if _, err := netip.ParseAddrPort(address); err == nil && !found && address != p.address && len(p.statuses) < maxPeers {
			p.statuses[address] = peerStatus{reportedAt: now}
		}
	}
	lastOutage, known := p.lastOutage(now)
	if ahead := r.Listed && r.Revision > p.inbox.Mirror().Revision(); ahead && p.behindSince.IsZero() {
		p.behindSince = now
	}
	p.mu.Unlock()
	p.service.Change(func(s dispatch.State, now time.Time) dispatch.State {
		if known {
			s = s.WithOthersOutage(lastOutage)
		}
		return s.WithPeerReport(r.Name, r.Loads, r.Silent, now).
			WithHomeLoads(r.Home, now).WithRanks(decodeRanks(r.Ranks, now), now).WithPeerConditions(decodeConditions(r.Conditions, now), now).
			WithPeerSuspicions(decodeSuspicions(r.Suspicions, now), now).WithDepartures(decodeDepartures(r.Departures, now), now).
			WithPeerLimits(decodeLimits(r.Limits, now), now)
	})
}

// Running returns the addresses of the peers that reported recently.
func (p *Peers) Running() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, s := range p.statuses {
		if p.clock().Sub(s.reportedAt) <= runningTimeout {
			list = append(list, address)
		}
	}
	return list
}

// met returns the addresses of the seeds and of the gateways that reported to this one itself
// within forgetAfter. Those that are only known from others are left out, so that the address of
// a gateway that is gone does not circulate.
func (p *Peers) met() []string {
	seeds := p.seeds()
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(p.addressesLocked(seeds), func(address string) bool { return p.statuses[address].domain == "" && !slices.Contains(seeds, address) })
}

// addresses returns the addresses of other gateways, sorted. It drops peers
// without a report for longer than forgetAfter.
func (p *Peers) addresses() []string {
	seeds := p.seeds()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addressesLocked(seeds)
}

// addressesLocked does what addresses does. It is called with mu held.
func (p *Peers) addressesLocked(seeds []string) []string {
	var list []string
	for address, s := range p.statuses {
		if p.clock().Sub(s.reportedAt) > forgetAfter {
			delete(p.statuses, address)
			continue
		}
		list = append(list, address)
	}
	for _, address := range seeds {
		if address != p.address && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}
