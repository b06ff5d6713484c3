package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamtray/core/roster"
	"hornbeamtray/core/routing"
)

// On a site with many gateways a gateway can't tell all others about each request that
// it sends. The gateways and the targets of a failure domain are therefore divided
// into cells. The gateways of a cell tell each other about each request, so that they
// know the load of the cell's targets exactly, and send to these first. The load of
// other targets is known from occasional reports, and they get what the cell has no
// free place for.
const (
	maxUndivided   = 13 // gateways; on a smaller site each tells all others about each request
	maxDivided     = 64 // gateways; on a larger site the reports between cells take too much processor time when requests go to many cells
	maxCellMembers = 16 // gateways of a cell
	minCellTargets = 4  // targets of a service for each cell of a failure domain; a service with fewer is not divided

	homeLoadTimeout = 2 * time.Second // age at which a report of a cell's loads is dropped
)

// cell identifies a cell.
type cell struct {
	domain string
	index  int // in the failure domain, from 0
}

// Division is how the gateways of a site are divided into cells. All gateways that
// know the same gateways compute the same division. The zero value is that of a site
// that is not divided.
type Division struct {
	own      cell
	counts   map[string]int    // number of cells, by failure domain; never written after construction
	members  map[cell][]string // addresses of the gateways; never written after construction
	gateways int
}

// NewDivision returns the division of a site for the gateway at address own. The
// addresses of all running gateways, with the own one, are given by failure domain.
func NewDivision(own string, gateways map[string][]string) Division {
	d := Division{counts: map[string]int{}, members: map[cell][]string{}}
	for _, addresses := range gateways {
		d.gateways += len(addresses)
	}
	if d.gateways <= maxUndivided || d.gateways > maxDivided {
		return Division{}
	}
	for domain, addresses := range gateways {
		addresses = slices.Clone(addresses)
		sortByHash(addresses)
		d.counts[domain] = (len(addresses) + maxCellMembers - 1) / maxCellMembers
		for i, address := range addresses {
			c := cell{domain, cellIndex(i, len(addresses), d.counts[domain])}
			d.members[c] = append(d.members[c], address)
			if address == own {
				d.own = c
			}
		}
	}
	return d
}

// Divided reports whether the site is divided.
func (d Division) Divided() bool { return d.gateways > 0 }

// Equal reports whether two divisions are the same.
func (d Division) Equal(other Division) bool {
	return d.own == other.own && maps.EqualFunc(d.members, other.members, slices.Equal[[]string])
}

// cellIndex returns the index of the cell of number i of n members.
func cellIndex(i, n, cells int) int { return i * cells / n }

// sortByHash sorts addresses in an order that spreads the adjacent ones of a rack.
func sortByHash(addresses []string) {
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
}

// homeReport is a peer's report of the total load of a target of its cell.
type homeReport struct {
	load       int
	reportedAt time.Time
}

// WithDivision returns the state of a gateway on a site with that division.
func (s State) WithDivision(d Division) State {
	s.division = d
	return s.withTargetCells()
}

// withTargetCells returns the state with the cells of the targets computed anew. The
// targets of a service in a failure domain are divided among its cells. Those of a
// service with few targets, or in a failure domain without gateways, belong to no cell.
func (s State) withTargetCells() State {
	s.targetCells = nil
	if !s.division.Divided() {
		return s
	}
	type part struct{ domain, service string }
	addresses := map[part][]string{}
	for _, t := range s.Roster.Targets() {
		if p := (part{t.Domain, t.Service}); !slices.Contains(addresses[p], t.Address) {
			addresses[p] = append(addresses[p], t.Address)
		}
	}
	s.targetCells = map[string]cell{}
	for p, list := range addresses {
		count := s.division.counts[p.domain]
		if count == 0 || len(list) < count*minCellTargets {
			continue
		}
		sortByHash(list)
		for i, address := range list {
			s.targetCells[address] = cell{p.domain, cellIndex(i, len(list), count)}
		}
	}
	return s
}

// isHome reports whether the target is one of the gateway's cell, or of no cell.
func (s State) isHome(t roster.Target) bool {
	c, found := s.targetCells[t.Address]
	return !found || c == s.division.own
}

// Audience returns the addresses of the gateways that must hear of this gateway's
// requests: those of its cell, and of the cells to whose targets it has sent any that
// are in flight. It is empty on a site that is not divided.
func (s State) Audience() []string {
	if !s.division.Divided() {
		return nil
	}
	cells := map[cell]bool{s.division.own: true}
	for i := s.views.Iterator(); !i.Done(); {
		id, view, _ := i.Next()
		if t, listed := s.Roster.Target(id); listed && view.InFlight > 0 {
			if c, found := s.targetCells[t.Address]; found {
				cells[c] = true
			}
		}
	}
	var list []string
	for c := range cells {
		list = append(list, s.division.members[c]...)
	}
	slices.Sort(list)
	return list
}

// HomeLoads returns the total load of the targets of the cell, for gateways of other
// cells. It is empty on a site that is not divided.
func (s State) HomeLoads() map[string]int {
	loads := map[string]int{}
	if !s.division.Divided() {
		return loads
	}
	for _, t := range s.Roster.Targets() {
		if c, found := s.targetCells[t.Address]; found && c == s.division.own {
			loads[t.ID] = s.View(t.ID).InFlight + s.peers.load(t.ID)
		}
	}
	return loads
}

// WithHomeLoads returns the state after a gateway reported the total load of the
// targets of its cell.
func (s State) WithHomeLoads(loads map[string]int, now time.Time) State {
	for id, load := range loads {
		s.homeLoads = s.homeLoads.Set(id, homeReport{load: load, reportedAt: now})
	}
	return s
}

// loadOf returns the estimated load of a target. That of a target of another cell is
// the total that a gateway of that cell reported, if this is recent.
func (s State) loadOf(t roster.Target, now time.Time) int {
	if !s.isHome(t) {
		if r, found := s.homeLoads.Get(t.ID); found && now.Sub(r.reportedAt) <= homeLoadTimeout {
			return r.load + s.View(t.ID).InFlight
		}
	}
	return s.View(t.ID).InFlight + s.peers.load(t.ID)
}

// choose picks one of the candidates. On a divided site a target of the own cell that
// has a free place comes first, then one of another cell, and only then one at which
// the request has to queue. Of targets of other cells, whose loads may have changed,
// it takes the better of two random ones, so that gateways don't all choose the same.
func (s State) choose(candidates []routing.Candidate, random routing.Random) (routing.Candidate, bool) {
	if !s.division.Divided() {
		return routing.LeastLoaded(candidates, random)
	}
	var free, remoteSpare, remoteFree, queued, remoteQueued []routing.Candidate
	for _, c := range candidates {
		t, _ := s.Roster.Target(c.Target)
		switch home, hasPlace := s.isHome(t), c.Load < c.Limit; {
		case home && hasPlace:
			free = append(free, c)
		case c.Load < c.Limit-1:
			remoteSpare = append(remoteSpare, c)
		case hasPlace:
			remoteFree = append(remoteFree, c)
		case home:
			queued = append(queued, c)
		default:
			remoteQueued = append(remoteQueued, c)
		}
	}
	if chosen, found := routing.LeastLoaded(free, random); found {
		return chosen, true
	}
	if chosen, found := routing.Choose(remoteSpare, random); found {
		return chosen, true
	}
	if chosen, found := routing.Choose(remoteFree, random); found {
		return chosen, true
	}
	return routing.LeastLoaded(append(queued, remoteQueued...), random)
}
