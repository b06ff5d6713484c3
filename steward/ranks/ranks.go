// Package ranks observes the ranks of a group and sends them orders. It does so
// through the steward beside each rank, or directly if that steward can't be reached.
//
// The leader and the guardian, which package lead explains, call the other stewards.
// A steward that is called observes its own rank or sends it the order.
package ranks

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"hornbeamtray/adapter/wire"
	"hornbeamtray/core/roster"
	"hornbeamtray/core/switching"
	"hornbeamtray/steward/lead"
)

const (
	observeTimeout  = 200 * time.Millisecond // longer than a round trip between failure domains to a busy steward
	orderTimeout    = 60 * time.Millisecond  // an engine answers in a millisecond; after this time the answer is probably lost
	mapOrderTimeout = 600 * time.Millisecond // for an order with a map; a few dozen maps may share a narrow link

	// An engine on the same machine answers in milliseconds, so an order without an answer
	// was probably lost, or is carried out late. It is repeated within the time that its sender
	// waits: while a rank lacks its order, all requests of the group wait.
	ownTimeout    = 20 * time.Millisecond
	ownMapTimeout = 120 * time.Millisecond
	ownAttempts   = 3

	countsTimeout = 50 * time.Millisecond // for the counts of the own rank; the leader reads them between its rounds, which a later answer would delay

	// maxCountReporters is the number of ranks that report their counts. Requests are
	// spread evenly over all ranks, so more reports, of a few kilobytes each, would add
	// little information.
	maxCountReporters = 12

	// foreignInterval is the time between observations of a target that belongs to
	// another group. Which targets form a group hardly ever changes.
	foreignInterval = 5 * time.Second
)

// The calls to stewards: by other stewards, and rankCall by gateways.
const (
	observeCall = "/steward/Observe"
	orderCall   = "/steward/Order"
	rankCall    = "/steward/Rank"
	relayCall   = "/steward/Relay"
)

// Engine is the engine of one rank.
type Engine interface {
	// Status reads the rank's status.
	Status(ctx context.Context) (lead.Observation, error)
	// StatusWithLists reads the rank's status and lists.
	StatusWithLists(ctx context.Context) (lead.Observation, error)
	// Observe reads the rank's status, lists and counts.
	Observe(ctx context.Context) (lead.Observation, error)
	// Counts reads the rank's counts.
	Counts(ctx context.Context) ([]uint64, error)
	// Order sends an order to the rank.
	Order(ctx context.Context, o switching.Order) (switching.Result, error)
}

// Engines returns the engine at an address.
type Engines interface {
	Engine(address string) Engine
}

// Listing returns the targets of the own service.
type Listing interface {
	Targets() []roster.Target
}

// Ranks implements lead.Ranks.
type Ranks struct {
	own     Engine
	engines Engines
	listing Listing
	client  *wire.Client
	clock   func() time.Time
	address string // of the own target
	port    string // of all stewards

	mu             sync.Mutex
	group          string               // group that addresses belong to; guarded by mu
	addresses      map[int]string       // address of the target, by rank; guarded by mu
	foreign        map[string]time.Time // when a target was last observed in another group, by address; guarded by mu
	queriedAt      time.Time            // when another steward last observed the own rank; guarded by mu
	countReporters map[string]bool      // addresses of the ranks that report their counts; guarded by mu
	silent         map[string]bool      // addresses of the ranks whose stewards did not answer the last call; guarded by mu
}

// New returns the Ranks of the steward beside the target at address. All stewards
// listen on the same port, each on the IP of its target.
func New(address string, port int, engines Engines, listing Listing, client *wire.Client, clock func() time.Time) *Ranks {
	return &Ranks{
		own: engines.Engine(address), engines: engines, listing: listing, client: client, clock: clock, address: address,
		port: strconv.Itoa(port), addresses: map[int]string{}, foreign: map[string]time.Time{}, countReporters: map[string]bool{}, silent: map[string]bool{},
	}
}

// Handlers returns the handlers of other stewards' calls.
func (r *Ranks) Handlers() wire.Handlers {
	return wire.Handlers{observeCall: r.handleObserve, orderCall: r.handleOrder, rankCall: r.handleRank, relayCall: r.handleRelay}
}

// observeRequest is the request of an observe call.
type observeRequest struct {
	Counts bool `json:"counts,omitempty"` // Counts requests the rank's counts, too.
}

// orderResponse is the response of an order call.
type orderResponse struct {
	Result switching.Result `json:"result"`
}

func (r *Ranks) handleObserve(ctx context.Context, read func(any) error) (any, error) {
	var request observeRequest
	if err := read(&request); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.queriedAt = r.clock()
	r.mu.Unlock()
	if request.Counts {
		return r.own.Observe(ctx)
	}
	return r.own.StatusWithLists(ctx)
}

// handleRank tells a gateway the rank of the own target.
func (r *Ranks) handleRank(ctx context.Context, read func(any) error) (any, error) {
	if err := read(&struct{}{}); err != nil {
		return nil, err
	}
	o, err := r.own.Status(ctx)
	return roster.Rank{
		Group: o.Group, Epoch: o.Status.Epoch, Number: o.Status.Rank, Size: o.Status.Size, Open: o.Status.Open, Map: o.Status.Map, Pace: o.Pace,
	}, err
}

// QueriedAt returns when another steward last observed the own rank.
func (r *Ranks) QueriedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queriedAt
}

func (r *Ranks) handleOrder(ctx context.Context, read func(any) error) (any, error) {
	var o switching.Order
	if err := read(&o); err != nil {
		return nil, err
	}
	return orderResponse{Result: r.orderOwn(ctx, o)}, nil
}

// orderOwn sends an order to the own rank. It repeats a Prepare or an Arm without an answer.
// Both are idempotent, and switching.Verb says why a late one is harmless; a late Hold would
// keep a pass from beginning.
func (r *Ranks) orderOwn(ctx context.Context, o switching.Order) switching.Result {
	if o.Verb != switching.Prepare && o.Verb != switching.Arm {
		return sendOrder(ctx, r.own, o)
	}
	timeout := ownTimeout
	if o.Map != nil {
		timeout = ownMapTimeout
	}
	for range ownAttempts - 1 {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		result := sendOrder(attempt, r.own, o)
		cancel()
		if result != switching.Unanswered {
			return result
		}
	}
	return sendOrder(ctx, r.own, o)
}

// sendOrder sends an order to an engine. It returns Unanswered if there is no answer;
// then the engine may still carry the order out.
func sendOrder(ctx context.Context, engine Engine, o switching.Order) switching.Result {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(o))
	defer cancel()
	result, err := engine.Order(ctx, o)
	if err != nil {
		return switching.Unanswered
	}
	return result
}

// timeoutOf returns the timeout of an order.
func timeoutOf(o switching.Order) time.Duration {
	if o.Map != nil {
		return mapOrderTimeout
	}
	return orderTimeout
}

// ObserveOwn observes the own rank.
func (r *Ranks) ObserveOwn(ctx context.Context) (lead.Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	return r.own.Observe(ctx)
}

// OwnCounts reads the counts of the own rank alone, which costs less than ObserveOwn.
func (r *Ranks) OwnCounts(ctx context.Context) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	return r.own.Counts(ctx)
}

// ObserveRank observes one rank through its steward. If that does not answer, it
// queries the rank directly; then the observation has no counts, has lists only on
// request, since they are expensive to read from another instance, and may be
// slightly out of date.
func (r *Ranks) ObserveRank(ctx context.Context, rank int, lists bool) (lead.Observation, error) {
	address := r.addressOf(rank)
	if address == r.address {
		return r.ObserveOwn(ctx)
	}
	if address == "" {
		return lead.Observation{}, trace.NotFound("rank %d has not been observed yet", rank)
	}
	q := query{ranks: r, ctx: ctx, address: address}
	if q.run(); q.answered {
		return q.observation, nil
	}
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	read := r.engines.Engine(address).Status
	if lists {
		read = r.engines.Engine(address).StatusWithLists
	}
	observation, err := read(ctx)
	observation.Direct = true
	return observation, err
}

// addressOf returns the address of a rank's target, or "" if it is not known.
func (r *Ranks) addressOf(rank int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addresses[rank]
}

// ObserveAll observes the ranks of a group whose stewards can be reached, and returns
// the observations by rank. If counts is true, it requests the counts of some ranks,
// preferably those that reported them last time, and also queries stewards that did
// not answer last time. It skips targets that were recently observed in another group.
func (r *Ranks) ObserveAll(ctx context.Context, group string, own lead.Observation, counts bool) map[int]lead.Observation {
	var pending sync.WaitGroup
	var queries []*query
	seen := map[string]bool{r.address: true} // the entry of a process that crashed may be listed beside its successor's
	for _, t := range r.listing.Targets() {
		if !seen[t.Address] && !r.isForeign(t.Address) {
			seen[t.Address] = true
			queries = append(queries, &query{ranks: r, ctx: ctx, address: t.Address, querySilent: counts})
		}
	}
	if counts {
		r.chooseCountReporters(queries)
	}
	for _, q := range queries {
		pending.Go(q.run)
	}
	pending.Wait()
	observed := map[int]lead.Observation{own.Status.Rank: own}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.group != group {
		r.group, r.addresses = group, map[int]string{}
	}
	r.addresses[own.Status.Rank] = r.address
	for _, q := range queries {
		switch {
		case !q.answered:
		case q.observation.Group == group:
			observed[q.observation.Status.Rank] = q.observation
			r.addresses[q.observation.Status.Rank] = q.address
		case q.observation.Group != "":
			r.foreign[q.address] = r.clock()
			delete(r.countReporters, q.address)
		}
		if q.wantCounts && len(q.observation.Counts) == 0 {
			delete(r.countReporters, q.address)
		}
	}
	return observed
}

// isForeign reports whether a target was recently observed in another group.
func (r *Ranks) isForeign(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, found := r.foreign[address]
	return found && r.clock().Sub(at) < foreignInterval
}

// chooseCountReporters sets wantCounts in the queries of up to maxCountReporters-1
// ranks, first of those that reported their counts last time.
func (r *Ranks) chooseCountReporters(queries []*query) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reporters, count := map[string]bool{}, 1 // the own rank always reports
	for _, reportedBefore := range []bool{true, false} {
		for _, q := range queries {
			if count < maxCountReporters && r.countReporters[q.address] == reportedBefore {
				q.wantCounts, reporters[q.address] = true, true
				count++
			}
		}
	}
	r.countReporters = reporters
}

// query is an observe call to the steward beside one target.
type query struct {
	ranks       *Ranks
	ctx         context.Context
	address     string
	wantCounts  bool // whether to request the rank's counts
	querySilent bool // whether to call a steward that did not answer the last call
	observation lead.Observation
	answered    bool
}

// run calls the steward. It skips one that did not answer the last call, unless
// querySilent is set.
func (q *query) run() {
	if !q.querySilent && q.ranks.isSilent(q.address) {
		return
	}
	ctx, cancel := context.WithTimeout(q.ctx, observeTimeout)
	defer cancel()
	steward := q.ranks.stewardAddress(q.address)
	q.answered = steward != "" && q.ranks.client.Call(ctx, steward, observeCall, observeRequest{Counts: q.wantCounts}, &q.observation) == nil
	q.ranks.setSilent(q.address, !q.answered)
}

func (r *Ranks) isSilent(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent[address]
}

func (r *Ranks) setSilent(address string, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if silent {
		r.silent[address] = true
		return
	}
	delete(r.silent, address)
}

// stewardAddress returns the address of the steward beside a target, or "" if the
// target's address is malformed.
func (r *Ranks) stewardAddress(target string) string {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, r.port)
}

// Order sends an order to its rank through the rank's steward, or directly if the
// steward does not answer. The rank may then receive the order twice, which is
// harmless, since orders are idempotent. A Hold order to another rank is always sent
// directly, so that it never comes from the instance whose rank holds the pass.
func (r *Ranks) Order(ctx context.Context, o switching.Order) switching.Result {
	address := r.addressOf(o.Rank)
	if address == r.address {
		return r.orderOwn(ctx, o)
	}
	if o.Verb == switching.Hold || r.isSilent(address) {
		return sendOrder(ctx, r.engines.Engine(address), o)
	}
	callCtx, cancel := context.WithTimeout(ctx, 2*timeoutOf(o))
	defer cancel()
	var response orderResponse
	if err := r.client.Call(callCtx, r.stewardAddress(address), orderCall, o, &response); err == nil {
		return response.Result
	}
	r.setSilent(address, true)
	return sendOrder(ctx, r.engines.Engine(address), o)
}
