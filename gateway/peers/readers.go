package peers

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamtray/core/dispatch"
)

// peerStatus is a peer's access to the store, according to its last report.
type peerStatus struct {
	reportedAt  time.Time // when the peer reported, or another peer first reported its address
	domain      string    // failure domain; empty if the peer has not reported
	isReader    bool
	lastFailure time.Time // last failed read of an outage that the peer saw; zero if older than failureLifetime
}

func statusOf(r report, now time.Time) peerStatus {
	s := peerStatus{reportedAt: now, domain: r.Domain, isReader: r.IsReader}
	if r.FailureAge != nil {
		s.lastFailure = now.Add(-*r.FailureAge)
	}
	return s
}

// lastOutage returns when peers last failed to read the store, and whether recent
// reports tell. It returns zero if this gateway or a peer reads the store and saw no outage
// within failureLifetime: a store that rejects only some gateways has none. It is called
// with mu held.
func (p *Peers) lastOutage(now time.Time) (last time.Time, known bool) {
	access := p.inbox.Mirror().StoreAccess()
	if access.IsReader(now) && now.Sub(access.LastFailure) > failureLifetime {
		return time.Time{}, true
	}
	for _, s := range p.statuses {
		switch {
		case now.Sub(s.reportedAt) > reportLifetime:
		case s.isReader && s.lastFailure.IsZero():
			return time.Time{}, true
		case s.lastFailure.After(last):
			last, known = s.lastFailure, true
		}
	}
	return last, known
}

// recordRead applies a peer's last read of the store to the gateway's state, if that matters.
// The response with it was requested at sentAt: the read began at its age before now at
// the latest, and ended at its age before sentAt at the earliest.
func (p *Peers) recordRead(r report, sentAt time.Time) {
	if r.EndedAge <= 0 || !p.service.State().Roster.SawOutage() {
		return
	}
	began, ended := p.clock().Add(-r.BeganAge), sentAt.Add(-r.EndedAge)
	p.service.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithStoreRead(began, ended, now) })
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
