package dispatch

import (
	"maps"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	peerTimeout     = 3 * time.Second        // age at which a peer's report is dropped
	peerSweepPeriod = 250 * time.Millisecond // between searches for outdated reports
)

// peerReports holds the latest reports of the other gateways, and the sum of their
// requests in flight by target, so that the cost of a choice does not grow with the
// number of gateways.
type peerReports struct {
	reports *immutable.Map[string, peerReport] // by name of the gateway
	loads   *immutable.Map[string, int]        // sum of the loads in reports, by target
	silent  map[string]silentReport            // of the gateways with silent targets; never written after construction
	sweptAt time.Time
}

// peerReport is the latest report of another gateway.
type peerReport struct {
	loads      map[string]int // its requests in flight by target; nil once outdated; never written after construction
	reportedAt time.Time      // when this gateway received the report
}

// silentReport lists the targets that did not respond to another gateway.
type silentReport struct {
	targets    []string // never written after construction
	reportedAt time.Time
}

func newPeerReports() peerReports {
	return peerReports{reports: immutable.NewMap[string, peerReport](nil), loads: immutable.NewMap[string, int](nil)}
}

// count returns the number of gateways that ever reported.
func (p peerReports) count() int { return p.reports.Len() }

// load returns the requests in flight at a target from the other gateways.
func (p peerReports) load(id string) int {
	load, _ := p.loads.Get(id)
	return load
}

// with returns the reports with a new one of a gateway.
func (p peerReports) with(name string, loads map[string]int, silent []string, now time.Time) peerReports {
	before, _ := p.reports.Get(name)
	p.loads = added(added(p.loads, before.loads, -1), loads, 1)
	p.reports = p.reports.Set(name, peerReport{loads: loads, reportedAt: now})
	_, wasSilent := p.silent[name]
	if len(silent) > 0 || wasSilent {
		p.silent = maps.Clone(p.silent)
		if p.silent == nil {
			p.silent = map[string]silentReport{}
		}
		p.silent[name] = silentReport{targets: silent, reportedAt: now}
	}
	return p.withoutOutdated(now)
}

// withoutOutdated returns the reports without the loads of those that are older than
// peerTimeout. It searches for them once per peerSweepPeriod.
func (p peerReports) withoutOutdated(now time.Time) peerReports {
	if now.Sub(p.sweptAt) < peerSweepPeriod {
		return p
	}
	p.sweptAt = now
	for i := p.reports.Iterator(); !i.Done(); {
		name, r, _ := i.Next()
		if r.loads != nil && now.Sub(r.reportedAt) > peerTimeout {
			p.loads = added(p.loads, r.loads, -1)
			p.reports = p.reports.Set(name, peerReport{reportedAt: r.reportedAt})
		}
	}
	return p
}

// silentTargets returns the targets that are silent to a gateway by a report at most
// silentReportAge old.
func (p peerReports) silentTargets(now time.Time) map[string]bool {
	ids := map[string]bool{}
	for _, r := range p.silent {
		if now.Sub(r.reportedAt) > silentReportAge {
			continue
		}
		for _, id := range r.targets {
			ids[id] = true
		}
	}
	return ids
}

// added returns the sums with factor times the loads added.
func added(sums *immutable.Map[string, int], loads map[string]int, factor int) *immutable.Map[string, int] {
	for id, load := range loads {
		before, _ := sums.Get(id)
		if sum := before + factor*load; sum != 0 {
			sums = sums.Set(id, sum)
		} else {
			sums = sums.Delete(id)
		}
	}
	return sums
}

// WithPeerReport returns the state after another gateway reported its requests
// in flight by target, and the targets that do not respond to it.
func (s State) WithPeerReport(name string, loads map[string]int, silent []string, now time.Time) State {
	before := s
	s.peers = s.peers.with(name, loads, silent, now)
	return s.recordColdShares(before, now)
}
