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
	spillTargets = 4  // while its own domain has targets that may take work
	awayTargets  = 16 // while it has none
)

// Watched returns the targets whose agents an instance watches, and so may send
// work to: those of its own failure domain, and a few of each service in others.
// Instances choose different ones, so that what spills spreads out.
func Watched(c fleet.Configuration, instance, domain string) []fleet.Target {
	var watched []fleet.Target
	foreign := map[string][]fleet.Target{}
	near := map[string]bool{}
	for _, t := range c.Targets() {
		if t.Domain == domain {
			watched = append(watched, t)
			near[t.Service] = near[t.Service] || c.Available(t.Name)
			continue
		}
		foreign[t.Service] = append(foreign[t.Service], t)
	}
	for service, targets := range foreign {
		most := awayTargets
		if near[service] {
			most = spillTargets
		}
		slices.SortFunc(targets, func(a, b fleet.Target) int {
			return cmp.Compare(score(instance, a), score(instance, b))
		})
		watched = append(watched, targets[:min(most, len(targets))]...)
	}
	return watched
}

// score orders targets differently for each instance, the same each time.
func score(instance string, t fleet.Target) uint64 {
	return xxhash.Sum64String(t.Name + "\x00" + instance)
}
