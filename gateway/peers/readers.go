package peers

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerStatus is a peer's access to the store, according to its last report.
type peerStatus struct {
	reportedAt  time.Time // when the peer reported, or another peer first reported its address
	domain      string    // failure domain; empty if the peer has not reported
	isReader    bool
	lastFailure time.Time // last failed read; zero if older than failureLifetime
}

func statusOf(r report, now time.Time) peerStatus {
	s := peerStatus{reportedAt: now, domain: r.Domain, isReader: r.IsReader}
	if r.FailureAge != nil {
		s.lastFailure = now.Add(-*r.FailureAge)
	}
	return s
}

// lastOutage returns when peers last failed to read the store. It returns zero
// if this gateway or a peer reads the store and has not failed to within
// failureLifetime: a store that rejects only some gateways has no outage. It is
// called with mu held.
func (p *Peers) lastOutage(now time.Time) time.Time {
	last, access := time.Time{}, p.inbox.Mirror().StoreAccess()
	if access.IsReader(now) && now.Sub(access.LastFailure) > failureLifetime {
		return time.Time{}
	}
	for _, s := range p.statuses {
		switch {
		case now.Sub(s.reportedAt) > reportLifetime:
		case s.isReader && s.lastFailure.IsZero():
			return time.Time{}
		case s.lastFailure.After(last):
			last = s.lastFailure
		}
	}
	return last
}

// EnoughReaders reports whether this gateway need not read the store, because
// at least readerCount peers that read it have a lower readerRank. It returns
// false while the gateway has been behind a peer for longer than behindTimeout.
func (p *Peers) EnoughReaders() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.behindSince.IsZero() && p.clock().Sub(p.behindSince) > behindTimeout {
		return false
	}
	now, readers, own := p.clock(), 0, readerRank(p.address)
	for address, s := range p.statuses {
		if s.isReader && now.Sub(s.reportedAt) < reportLifetime && readerRank(address) < own {
			readers++
		}
	}
	return readers >= readerCount
}

// readerRank returns a number by which all gateways order each other. It is a
// hash, so that the lowest ranks are spread over the failure domains, in each of
// which the addresses are adjacent.
func readerRank(address string) uint64 { return xxhash.Sum64String(address) }
