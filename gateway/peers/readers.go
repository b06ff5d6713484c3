package peers

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// standing is how a peer fares with the store.
type standing struct {
	heard  time.Time
	reads  bool
	outage time.Time // when it last could not read the store; zero for not lately
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
	last, own := time.Time{}, p.inbox.Mirror().StoreAccess()
	if own.IsReader(now) && now.Sub(own.LastFailure) > outageKnown {
		return time.Time{}
	}
	for _, s := range p.heard {
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

// EnoughReaders reports whether enough others read the store that this gateway needn't:
// as many as it takes that come before it in an order that all know. One that
// could not learn for a while what they know is not spared.
func (p *Peers) EnoughReaders() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.behind.IsZero() && p.clock().Sub(p.behind) > behindTime {
		return false
	}
	now, before, own := p.clock(), 0, order(p.address)
	for address, s := range p.heard {
		if s.reads && now.Sub(s.heard) < heardFresh && order(address) < own {
			before++
		}
	}
	return before >= readers
}

// order returns a number that mixes failure domains, whose addresses lie together.
func order(address string) uint64 { return xxhash.Sum64String(address) }
