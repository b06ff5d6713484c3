package dispatch

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

const (
	gatewayTimeout = 10 * time.Minute // a gateway that was not heard of for longer has no share any more
	gatewayRefresh = time.Minute      // age at which it is noted that a known gateway was heard of again
)

// knownGateways holds the addresses of the gateways that this one has heard of.
type knownGateways struct {
	own     string                            // address of this gateway; empty if it is not known
	heardAt *immutable.Map[string, time.Time] // of the others, by address
}

func newKnownGateways(own string) knownGateways {
	return knownGateways{own: own, heardAt: immutable.NewMap[string, time.Time](nil)}
}

// count returns the number of the other gateways.
func (g knownGateways) count() int { return g.heardAt.Len() }

// with returns the gateways with those of which this one has heard, and without those of which it
// has not for gatewayTimeout. It reports whether they are others than before.
func (g knownGateways) with(addresses []string, now time.Time) (knownGateways, bool) {
	before, changed := g.heardAt, false
	for _, address := range addresses {
		heardAt, known := g.heardAt.Get(address)
		if address == g.own || known && now.Sub(heardAt) <= gatewayRefresh {
			continue
		}
		changed = changed || !known
		g.heardAt = g.heardAt.Set(address, now)
	}
	if g.heardAt == before {
		return g, false
	}
	for i := g.heardAt.Iterator(); !i.Done(); {
		if address, heardAt, _ := i.Next(); now.Sub(heardAt) > gatewayTimeout {
			g.heardAt = g.heardAt.Delete(address)
			changed = true
		}
	}
	return g, changed
}

// all returns the addresses of all gateways, with the own one, in an order that is the same for
// all that know the same gateways.
func (g knownGateways) all() []string {
	list := []string{g.own}
	for i := g.heardAt.Iterator(); !i.Done(); {
		address, _, _ := i.Next()
		list = append(list, address)
	}
	sortByHash(list)
	return list
}

// placesOf returns the place of one of the gateways, from 0, in the order of each target of a
// service. Each gateway has a home, the first target in its own order for which fewer than most
// gateways before it have theirs. In the order of a target, the gateways that have their home
// there come first, so that each gateway has an early place somewhere. The others follow in an order
// that is different for each target.
func placesOf(own string, gateways, targets []string, most int) map[string]int {
	hashes := make([]uint64, len(targets))
	for i, target := range targets {
		hashes[i] = xxhash.Sum64String(target)
	}
	homeCounts, before := make([]int, len(targets)), make([]int, len(targets))
	ownHash, ownHome, ownPlace := xxhash.Sum64String(own), -1, 0
	for _, gateway := range gateways {
		hash, home := xxhash.Sum64String(gateway), -1
		for i := range targets {
			if homeCounts[i] < most && (home < 0 || precedence(hash, hashes[i]) < precedence(hash, hashes[home])) {
				home = i
			}
		}
		if gateway == own {
			ownHome = home
			if home >= 0 {
				ownPlace = homeCounts[home]
			}
		}
		for i := range targets {
			if i != home && precedence(hash, hashes[i]) < precedence(ownHash, hashes[i]) {
				before[i]++
			}
		}
		if home >= 0 {
			homeCounts[home]++
		}
	}
	places := make(map[string]int, len(targets))
	for i, target := range targets {
		places[target] = homeCounts[i] + before[i]
	}
	if ownHome >= 0 {
		places[targets[ownHome]] = ownPlace
	}
	return places
}

// likelyPlace returns the place of a gateway at a target that it has on average among so many
// gateways.
func likelyPlace(gateway, target string, gateways int) int {
	share := float64(precedence(xxhash.Sum64String(gateway), xxhash.Sum64String(target))) / math.MaxUint64
	return int(share * float64(gateways))
}

// precedence orders gateways at a target, and targets at a gateway: the lowest number comes first.
func precedence(gateway, target uint64) uint64 {
	var both [16]byte
	for i := range 8 {
		both[i], both[8+i] = byte(gateway>>(8*i)), byte(target>>(8*i))
	}
	return xxhash.Sum64(both[:])
}
