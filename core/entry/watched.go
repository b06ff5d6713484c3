package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamtray/core/fleet"
)

// How many targets of other failure domains an instance watches for each
// service, so that reports mostly stay within a domain.
const (
	maxRemoteTargets             = 4  // while its own domain has targets that may take work
	maxRemoteTargetsWithoutLocal = 16 // while it has none
)

// WatchedTargets returns the targets whose agents an instance watches, and so may send
// work to: those of its own failure domain, and a few of each service in others.
// Instances choose different ones, so that what spills spreads out.
func WatchedTargets(c fleet.Configuration, instance, domain string) []fleet.Target {
	var watched []fleet.Target
	remote := map[string][]fleet.Target{}
	hasLocal := map[string]bool{}
	for _, t := range c.Targets() {
		if t.Domain == domain {
			watched = append(watched, t)
			hasLocal[t.Service] = hasLocal[t.Service] || c.Bears(t.Name)
			continue
		}
		remote[t.Service] = append(remote[t.Service], t)
	}
	for service, targets := range remote {
		limit := maxRemoteTargetsWithoutLocal
		if hasLocal[service] {
			limit = maxRemoteTargets
		}
		slices.SortFunc(targets, func(a, b fleet.Target) int {
			return cmp.Compare(rendezvousHash(instance, a), rendezvousHash(instance, b))
		})
		watched = append(watched, targets[:min(limit, len(targets))]...)
	}
	return watched
}

// rendezvousHash orders targets differently for each instance, the same each time.
func rendezvousHash(instance string, t fleet.Target) uint64 {
	return xxhash.Sum64String(t.Name + "\x00" + instance)
}
