package ranks

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"

	"hornbeamtray/core/switching"
)

const (
	minRelayed   = 24                  // orders with the same map; fewer are sent to each rank by the leader's steward itself
	relayTimeout = 2 * mapOrderTimeout // a relay passes the order on before it answers
)

// relayRequest asks a steward to send an order to its own rank and to pass it on to
// the stewards of other ranks.
type relayRequest struct {
	Order     switching.Order `json:"order"`     // for the rank of the steward that is asked
	Addresses map[int]string  `json:"addresses"` // addresses of the targets of the other ranks
}

// relayResponse holds the results by rank.
type relayResponse struct {
	Results map[int]switching.Result `json:"results"`
}

// Orders sends orders to their ranks and returns the results in the same order. It
// sends an order with a map, which takes some kilobytes, to many ranks by way of some
// of their stewards, since the link of one instance would take seconds for them all.
// Orders whose relay does not answer are Unanswered.
func (r *Ranks) Orders(ctx context.Context, orders []switching.Order) []switching.Result {
	results := make([]switching.Result, len(orders))
	relayed, direct := r.split(orders)
	var pending sync.WaitGroup
	for _, i := range direct {
		pending.Go(singleOrder{ranks: r, ctx: ctx, order: orders[i], result: &results[i]}.run)
	}
	rand.Shuffle(len(relayed), func(i, j int) { relayed[i], relayed[j] = relayed[j], relayed[i] }) // so that a relay that failed hardly ever is one again
	size := int(math.Ceil(math.Sqrt(float64(len(relayed)))))
	for len(relayed) > 0 {
		n := min(size, len(relayed))
		pending.Go((&relay{ranks: r, ctx: ctx, orders: orders, indexes: relayed[:n], results: results}).run)
		relayed = relayed[n:]
	}
	pending.Wait()
	return results
}

// split returns the indexes of the orders that are relayed and of those that are not.
func (r *Ranks) split(orders []switching.Order) (relayed, direct []int) {
	for i, o := range orders {
		address := r.addressOf(o.Rank)
		same := o.Map != nil && o.Version == orders[0].Version && o.Epoch == orders[0].Epoch && o.Verb == orders[0].Verb
		if same && address != r.address && address != "" && !r.isSilent(address) {
			relayed = append(relayed, i)
		} else {
			direct = append(direct, i)
		}
	}
	if len(relayed) < minRelayed {
		return nil, append(direct, relayed...)
	}
	return relayed, direct
}

// singleOrder sends one order.
type singleOrder struct {
	ranks  *Ranks
	ctx    context.Context
	order  switching.Order
	result *switching.Result
}

func (c singleOrder) run() { *c.result = c.ranks.Order(c.ctx, c.order) }

// relay sends an order to the first of some ranks, whose steward passes it on to the
// others.
type relay struct {
	ranks   *Ranks
	ctx     context.Context
	orders  []switching.Order
	indexes []int              // of the orders to send
	results []switching.Result // each relay writes those of its own indexes
}

func (c *relay) run() {
	first := c.orders[c.indexes[0]]
	request := relayRequest{Order: first, Addresses: map[int]string{}}
	for _, i := range c.indexes[1:] {
		request.Addresses[c.orders[i].Rank] = c.ranks.addressOf(c.orders[i].Rank)
	}
	ctx, cancel := context.WithTimeout(c.ctx, relayTimeout)
	defer cancel()
	address := c.ranks.addressOf(first.Rank)
	var response relayResponse
	if err := c.ranks.client.Call(ctx, c.ranks.stewardAddress(address), relayCall, request, &response); err != nil {
		c.ranks.setSilent(address, true)
	}
	for _, i := range c.indexes {
		result, found := response.Results[c.orders[i].Rank]
		if !found {
			result = switching.Unanswered
		}
		c.results[i] = result
	}
}

// handleRelay sends an order to the own rank and passes it on.
func (r *Ranks) handleRelay(ctx context.Context, read func(any) error) (any, error) {
	var request relayRequest
	if err := read(&request); err != nil {
		return nil, err
	}
	var pending sync.WaitGroup
	var copies []*copyOfOrder
	for rank, address := range request.Addresses {
		c := &copyOfOrder{ranks: r, ctx: ctx, address: address, order: request.Order}
		c.order.Rank = rank
		copies = append(copies, c)
		pending.Go(c.run)
	}
	response := relayResponse{Results: map[int]switching.Result{request.Order.Rank: r.orderOwn(ctx, request.Order)}}
	pending.Wait()
	for _, c := range copies {
		response.Results[c.order.Rank] = c.result
	}
	return response, nil
}

// copyOfOrder is an order that a relay passes on to the steward beside a target, once.
type copyOfOrder struct {
	ranks   *Ranks
	ctx     context.Context
	address string // of the target
	order   switching.Order
	result  switching.Result
}

func (c *copyOfOrder) run() {
	ctx, cancel := context.WithTimeout(c.ctx, timeoutOf(c.order))
	defer cancel()
	var response orderResponse
	if err := c.ranks.client.Call(ctx, c.ranks.stewardAddress(c.address), orderCall, c.order, &response); err == nil {
		c.result = response.Result // otherwise it stays Unanswered
	}
}
