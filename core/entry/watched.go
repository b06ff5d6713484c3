package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamtray/core/fleet"
)

// Bounds on the remote targets that an instance watches for each service. Remote
// targets are those of other failure domains. The bounds keep most reports within
// a domain.
const (
	maxRemoteTargets             = 4  // if a local target of the service may take new work
	maxRemoteTargetsWithoutLocal = 16 // if no local target of the service may take new work
)

// WatchedTargets returns the targets that an instance watches, that is, whose agents
// send it reports. It sends requests only to these. They are all targets of its own
// failure domain, and a few remote targets of each service. Instances select different remote targets,
// which spreads the requests that the local targets can't take.
func WatchedTargets(c fleet.Configuration, instance, domain string) []fleet.Target {
	var watched []fleet.Target
	remote := map[string][]fleet.Target{}
	hasUsableLocal := map[string]bool{}
	for _, t := range c.Targets() {
		if t.Domain == domain {
			watched = append(watched, t)
			hasUsableLocal[t.Service] = hasUsableLocal[t.Service] || c.Available(t.Name)
			continue
		}
		remote[t.Service] = append(remote[t.Service], t)
	}
	for service, targets := range remote {
		limit := maxRemoteTargetsWithoutLocal
		if hasUsableLocal[service] {
			limit = maxRemoteTargets
		}
		slices.SortFunc(targets, func(a, b fleet.Target) int {
			return cmp.Compare(rendezvousHash(instance, a), rendezvousHash(instance, b))
		})
		watched = append(watched, targets[:min(limit, len(targets))]...)
	}
	return watched
}

// rendezvousHash returns the sort key of a target for an instance. It gives each
// instance its own fixed order of the targets.
func rendezvousHash(instance string, t fleet.Target) uint64 {
	return xxhash.Sum64String(t.Name + "\x00" + instance)
}
