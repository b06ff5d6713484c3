package entry

import (
	"fmt"
	"testing"

	"hornbeamtray/core/fleet"
)

// configurationOf returns a configuration with two services and the failure domains
// d0, d1 and so on, each with targetsPerService targets of either service.
func configurationOf(domains, targetsPerService int) fleet.Configuration {
	c := fleet.NewConfiguration().WithVersion(1).
		WithService(fleet.NewService("quotes", fleet.Model)).WithService(fleet.NewService("orders", fleet.Plain))
	for d := range domains {
		domain := fmt.Sprintf("d%d", d)
		c = c.WithDomain(fleet.NewDomain(domain))
		for i := range targetsPerService {
			for s, service := range []string{"quotes", "orders"} {
				c = c.WithTarget(fleet.NewTarget(fmt.Sprintf("%s-%s-%d", service, domain, i), service, domain, fmt.Sprintf("10.%d.%d.%d:1", d, s, i)))
			}
		}
	}
	return c
}

func TestWatchedTargets(t *testing.T) {
	tests := []struct {
		name          string
		configuration fleet.Configuration
		local, remote int
	}{
		{"3 domains", configurationOf(3, 2), 4, 8},
		{"31 domains", configurationOf(31, 10), 20, 8},
		{"31 domains, local domain out", configurationOf(31, 10).WithDomain(fleet.NewDomain("d0").WithEvacuated(true)), 20, 32},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			local, remote := 0, 0
			for _, target := range WatchedTargets(tt.configuration, "entry-0", "d0") {
				if target.Domain == "d0" {
					local++
				} else {
					remote++
				}
			}
			if local != tt.local || remote != tt.remote {
				t.Errorf("%d local and %d remote targets, want %d and %d", local, remote, tt.local, tt.remote)
			}
		})
	}
}

// TestInstancesWatchDifferentRemoteTargets checks that no remote target is watched by
// more than a third of a domain's instances, which would concentrate on it the
// requests that the local targets can't take.
func TestInstancesWatchDifferentRemoteTargets(t *testing.T) {
	c := configurationOf(31, 10)
	const instances = 15
	chosen := map[string]int{}
	for i := range instances {
		for _, target := range WatchedTargets(c, fmt.Sprintf("entry-%d", i), "d0") {
			if target.Domain != "d0" {
				chosen[target.Name]++
			}
		}
	}
	for name, n := range chosen {
		if n > instances/3 {
			t.Errorf("%s is watched by %d of %d instances, want at most a third", name, n, instances)
		}
	}
}
