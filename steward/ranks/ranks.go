// Package ranks reaches the ranks of a group through the stewards beside them,
// and a rank itself where its steward can't be reached.
//
// Each steward reads and orders its own rank only, as asked by the one that
// leads.
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
	observeTimeout = 200 * time.Millisecond // above a round trip between failure domains and a busy steward
	orderTimeout   = 60 * time.Millisecond  // an order that takes longer is one whose answer is lost; an engine answers in a millisecond
	mapTimeout     = 600 * time.Millisecond // of an order with a map: some dozen maps leave over one narrow link at a time

	// tellers is how many ranks tell their counts. Requests go to all ranks alike,
	// so more of them tell little that is new, and each is some kilobytes.
	tellers = 12
)

// Names of the calls.
const (
	observeCall = "/steward/Observe"
	orderCall   = "/steward/Order"
)

// Engine is one rank.
type Engine interface {
	// Status reads the rank's status.
	Status(ctx context.Context) (lead.Observation, error)
	// Report reads the rank's status and lists.
	Report(ctx context.Context) (lead.Observation, error)
	// Observe reads the rank's status, lists and counts.
	Observe(ctx context.Context) (lead.Observation, error)
	// Order orders the rank.
	Order(ctx context.Context, o switching.Order) (switching.Result, error)
}

// Engines reaches ranks by address.
type Engines interface {
	Engine(address string) Engine
}

// Listing tells the targets of the own service.
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

	mu     sync.Mutex
	where  map[int]string  // address of the target by rank; guarded by mu
	asked  time.Time       // when another steward last observed the own rank; guarded by mu
	tells  map[string]bool // addresses of the ranks that tell their counts; guarded by mu
	silent map[string]bool // addresses of the ranks whose stewards gave no answer; guarded by mu
}

// New returns the ranks as seen by the steward beside the target at address.
// Stewards listen on one port of their targets' machines.
func New(address string, port int, engines Engines, listing Listing, client *wire.Client, clock func() time.Time) *Ranks {
	return &Ranks{
		own: engines.Engine(address), engines: engines, listing: listing, client: client, clock: clock, address: address,
		port: strconv.Itoa(port), where: map[int]string{}, tells: map[string]bool{}, silent: map[string]bool{},
	}
}

// Handlers answers the steward that leads.
func (r *Ranks) Handlers() wire.Handlers {
	return wire.Handlers{observeCall: r.observe, orderCall: r.carryOut}
}

// question asks how a rank is.
type question struct {
	Counts bool `json:"counts,omitempty"` // Counts: the rank's counts are wanted, too.
}

// answered is the result of an order.
type answered struct {
	Result switching.Result `json:"result"`
}

func (r *Ranks) observe(ctx context.Context, read func(any) error) (any, error) {
	var q question
	if err := read(&q); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.asked = r.clock()
	r.mu.Unlock()
	if q.Counts {
		return r.own.Observe(ctx)
	}
	return r.own.Report(ctx)
}

// Asked returns when another steward last observed the own rank.
func (r *Ranks) Asked() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked
}

func (r *Ranks) carryOut(ctx context.Context, read func(any) error) (any, error) {
	var o switching.Order
	if err := read(&o); err != nil {
		return nil, err
	}
	return answered{Result: r.local(ctx, o)}, nil
}

func (r *Ranks) local(ctx context.Context, o switching.Order) switching.Result {
	return order(ctx, r.own, o)
}

// order orders a rank. Without an answer nobody knows whether it is carried out.
func order(ctx context.Context, engine Engine, o switching.Order) switching.Result {
	ctx, cancel := context.WithTimeout(ctx, timeout(o))
	defer cancel()
	result, err := engine.Order(ctx, o)
	if err != nil {
		return switching.Unanswered
	}
	return result
}

// timeout returns how long an order may take.
func timeout(o switching.Order) time.Duration {
	if o.Map != nil {
		return mapTimeout
	}
	return orderTimeout
}

// Own observes the own rank.
func (r *Ranks) Own(ctx context.Context) (lead.Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	return r.own.Observe(ctx)
}

// One observes one rank: through its steward, or where that gives no answer
// directly, which tells no counts, lists only where they are wanted, since they
// are dear from afar, and the rest a little late.
func (r *Ranks) One(ctx context.Context, rank int, lists bool) (lead.Observation, error) {
	address := r.at(rank)
	if address == r.address {
		return r.Own(ctx)
	}
	if address == "" {
		return lead.Observation{}, trace.NotFound("nobody has seen rank %d yet", rank)
	}
	a := ask{ranks: r, ctx: ctx, address: address}
	if a.run(); a.found {
		return a.observation, nil
	}
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	read := r.engines.Engine(address).Status
	if lists {
		read = r.engines.Engine(address).Report
	}
	observation, err := read(ctx)
	observation.Direct = true
	return observation, err
}

// at returns the address of a rank's target, empty where it is not known.
func (r *Ranks) at(rank int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.where[rank]
}

// All observes all ranks of a group whose stewards can be reached, by rank. With
// counts, some of them tell their counts: those that did so last, as far as they
// still answer.
func (r *Ranks) All(ctx context.Context, group string, own lead.Observation, counts bool) map[int]lead.Observation {
	var asking sync.WaitGroup
	var asks []*ask
	for _, t := range r.listing.Targets() {
		if t.Address != r.address {
			asks = append(asks, &ask{ranks: r, ctx: ctx, address: t.Address, retry: counts})
		}
	}
	if counts {
		r.choose(asks)
	}
	for _, a := range asks {
		asking.Go(a.run)
	}
	asking.Wait()
	observed := map[int]lead.Observation{own.Status.Rank: own}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.where[own.Status.Rank] = r.address
	for _, a := range asks {
		if a.found && a.observation.Group == group {
			observed[a.observation.Status.Rank] = a.observation
			r.where[a.observation.Status.Rank] = a.address
		}
		if a.counts && len(a.observation.Counts) == 0 {
			delete(r.tells, a.address)
		}
	}
	return observed
}

// choose has as many ranks as needed asked for their counts.
func (r *Ranks) choose(asks []*ask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tells, count := map[string]bool{}, 1 // the own rank tells always
	for _, known := range []bool{true, false} {
		for _, a := range asks {
			if count < tellers && r.tells[a.address] == known {
				a.counts, tells[a.address] = true, true
				count++
			}
		}
	}
	r.tells = tells
}

// ask is one question to the steward beside one target.
type ask struct {
	ranks       *Ranks
	ctx         context.Context
	address     string
	counts      bool // counts: the rank's counts are wanted, too
	retry       bool // retry: a steward that gave no answer is asked again
	observation lead.Observation
	found       bool
}

// run asks. One that gave no answer before is asked only where there is time for it.
func (a *ask) run() {
	if !a.retry && a.ranks.isSilent(a.address) {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, observeTimeout)
	defer cancel()
	steward := a.ranks.steward(a.address)
	a.found = steward != "" && a.ranks.client.Call(ctx, steward, observeCall, question{Counts: a.counts}, &a.observation) == nil
	a.ranks.mark(a.address, !a.found)
}

func (r *Ranks) isSilent(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent[address]
}

func (r *Ranks) mark(address string, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if silent {
		r.silent[address] = true
		return
	}
	delete(r.silent, address)
}

// steward returns the address of the steward beside a target.
func (r *Ranks) steward(target string) string {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, r.port)
}

// Order orders one rank, through its steward, or directly where the steward
// gave no answer: carried out twice, an order does what it does once. A hold
// goes to its rank directly, so that the machine that gave it is never the one
// that holds.
func (r *Ranks) Order(ctx context.Context, o switching.Order) switching.Result {
	address := r.at(o.Rank)
	if address == r.address {
		return r.local(ctx, o)
	}
	if o.Verb == switching.Hold || r.isSilent(address) {
		return order(ctx, r.engines.Engine(address), o)
	}
	calling, cancel := context.WithTimeout(ctx, 2*timeout(o))
	defer cancel()
	var result answered
	if err := r.client.Call(calling, r.steward(address), orderCall, o, &result); err == nil {
		return result.Result
	}
	r.mark(address, true)
	return order(ctx, r.engines.Engine(address), o)
}
