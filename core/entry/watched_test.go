package entry

import (
	"fmt"
	"testing"

	"hornbeamtray/core/fleet"
)

// configurationOf returns domains d0, d1, ... with so many targets of each of two services.
func configurationOf(domains, each int) fleet.Configuration {
	c := fleet.NewConfiguration().WithVersion(1).
		WithService(fleet.NewService("quotes", fleet.Model)).WithService(fleet.NewService("orders", fleet.Plain))
	for d := range domains {
		domain := fmt.Sprintf("d%d", d)
		c = c.WithDomain(fleet.NewDomain(domain))
		for i := range each {
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
		own, remote   int
	}{
		{"today", configurationOf(3, 2), 4, 8},
		{"large", configurationOf(31, 10), 20, 8},
		{"own domain out", configurationOf(31, 10).WithDomain(fleet.NewDomain("d0").WithOut(true)), 20, 32},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			own, remote := 0, 0
			for _, target := range WatchedTargets(tt.configuration, "entry-0", "d0") {
				if target.Domain == "d0" {
					own++
				} else {
					remote++
				}
			}
			if own != tt.own || remote != tt.remote {
				t.Errorf("%d own and %d foreign targets, want %d and %d", own, remote, tt.own, tt.remote)
			}
		})
	}
}

// TestInstancesWatchDifferentRemoteTargets has all instances of a domain choose foreign targets: no
// target is chosen by most of them.
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
			t.Errorf("%s is chosen by %d of %d instances", name, n, instances)
		}
	}
}
