package peers

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamtray/core/dispatch"
)

const (
	keeperTimeout    = runningTimeout         // a gateway without a report for longer keeps no schedule
	permitTimeout    = 100 * time.Millisecond // well above a round trip between failure domains
	silenceOfAll     = time.Second            // after so long without a report of any peer, which come every reportInterval, this gateway was paused or out of reach
	keeperRetryAfter = time.Second            // after a call to a keeper failed, until it is asked again
	permitRetryAfter = 200 * time.Millisecond // after no keeper answered, until one is asked again
	deputyShare      = 0.25                   // of a limit, handed out by a gateway that may not be its only keeper; some requests arrive later than their turn
)

// permitRequest asks the keeper of a target's limit for a permit.
type permitRequest struct {
	Limit limit         `json:"limit"`
	Wait  time.Duration `json:"wait,omitempty"` // how long the request may wait
}

// permitResponse is the answer. It has delays, since the clocks of instances differ.
type permitResponse struct {
	Granted bool          `json:"granted,omitempty"`
	Delay   time.Duration `json:"delay,omitempty"` // until a granted request may be sent
	Next    time.Duration `json:"next,omitempty"`  // until the target may get another request
}

// Ask implements serve.Permits. The gateway that comes first in an order of a target's
// keepers hands out its limit; if it doesn't answer, the second hands out a part, so that
// both together stay below what a target bears for a few seconds.
func (p *Peers) Ask(ctx context.Context, ask dispatch.Ask) dispatch.Grant {
	for _, keeper := range p.keepers(ask.Target) {
		if keeper == p.address {
			return p.grant(ctx, ask)
		}
		if p.failed.failedRecently(keeper, p.clock()) {
			continue
		}
		if grant, answered := p.askKeeper(ctx, keeper, ask); answered {
			return grant
		}
	}
	return dispatch.Grant{Next: p.clock().Add(permitRetryAfter)}
}

func (p *Peers) askKeeper(ctx context.Context, keeper string, ask dispatch.Ask) (dispatch.Grant, bool) {
	callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	named := dispatch.NamedLimit{Target: ask.Target, StartUnixMilli: ask.StartUnixMilli, Limit: ask.Limit}
	request, response := permitRequest{Limit: encodeLimit(named, p.clock()), Wait: ask.Wait}, permitResponse{}
	if err := p.client.Call(callCtx, keeper, permitCall, request, &response); err != nil {
		if ctx.Err() == nil { // otherwise the request ended, which says nothing of the keeper
			p.failed.add(keeper, p.clock())
		}
		return dispatch.Grant{}, false
	}
	now := p.clock()
	return dispatch.Grant{Granted: response.Granted, Start: now.Add(response.Delay), Next: now.Add(response.Next)}, true
}

func (p *Peers) handlePermit(ctx context.Context, read func(any) error) (any, error) {
	var request permitRequest
	if err := read(&request); err != nil {
		return nil, err
	}
	named := request.Limit.decode(p.clock())
	grant := p.grant(ctx, dispatch.Ask{Target: named.Target, StartUnixMilli: named.StartUnixMilli, Limit: named.Limit, Wait: request.Wait})
	now := p.clock()
	return permitResponse{Granted: grant.Granted, Delay: max(0, grant.Start.Sub(now)), Next: max(0, grant.Next.Sub(now))}, nil
}

// grant answers an ask as a keeper of the target's limit.
func (p *Peers) grant(ctx context.Context, ask dispatch.Ask) dispatch.Grant {
	denied := dispatch.Grant{Next: p.clock().Add(permitRetryAfter)}
	share := p.keeperShare(ask.Target)
	if share == 0 {
		return denied
	}
	grants := make(chan dispatch.Grant, 1)
	p.service.Change(func(s dispatch.State, now time.Time) dispatch.State {
		s, grant := s.Grant(ask, share, now)
		grants <- grant
		return s
	})
	select {
	case grant := <-grants:
		return grant
	case <-ctx.Done():
		return denied
	}
}

// keepers returns the addresses of the first two keepers of a target's limit among the
// gateways that run.
func (p *Peers) keepers(target string) []string {
	list := append(p.otherKeepers(), p.address)
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(keeperRank(a, target), keeperRank(b, target)), cmp.Compare(a, b))
	})
	return list[:min(2, len(list))]
}

// otherKeepers returns the addresses of the peers that reported within keeperTimeout.
func (p *Peers) otherKeepers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for address, s := range p.statuses {
		if s.domain != "" && p.clock().Sub(s.reportedAt) <= keeperTimeout {
			list = append(list, address)
		}
	}
	return list
}

// keeperShare returns the fraction of a target's limit that this gateway hands out: all as
// the first keeper, a part as the second, while it may not know its peers yet, or while
// they may not know that it is back.
func (p *Peers) keeperShare(target string) float64 {
	before, own := 0, keeperRank(p.address, target)
	for _, address := range p.otherKeepers() {
		if keeperRank(address, target) < own {
			before++
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	switch {
	case before > 1:
		return 0
	case before == 1, now.Sub(p.startedAt) < keeperTimeout, now.Sub(p.heardSince) < keeperTimeout:
		return deputyShare
	}
	return 1
}

// keeperRank returns a number by which all gateways order the keepers of a target alike,
// and differently for each target, so that they share the work.
func keeperRank(address, target string) uint64 { return xxhash.Sum64String(address + " " + target) }

// failedKeepers holds when calls to keepers failed.
type failedKeepers struct {
	mu sync.Mutex
	at map[string]time.Time // by address; guarded by mu
}

func (f *failedKeepers) add(address string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at == nil {
		f.at = map[string]time.Time{}
	}
	f.at[address] = now
}

func (f *failedKeepers) failedRecently(address string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, found := f.at[address]
	if found && now.Sub(at) >= keeperRetryAfter {
		delete(f.at, address)
		return false
	}
	return found
}
