package crowd

import (
	"slices"
	"testing"
)

// TestCrowdAtGateway guards against a gateway that runs out of memory or descriptors, or
// leaves its other callers without answers, because of what untrusted callers send to it.
func TestCrowdAtGateway(t *testing.T) {
	for _, c := range slices.Concat(headCases, endlessHeadCases, bodyCases, idleCases) {
		t.Run(c.name, func(t *testing.T) { runCrowd(t, startGateway, c) })
	}
}

// TestCrowdAtEntry guards against the same of an entry instance.
func TestCrowdAtEntry(t *testing.T) {
	for _, c := range slices.Concat(headCases, endlessHeadCases, bodyCases, idleCases) {
		t.Run(c.name, func(t *testing.T) { runCrowd(t, startEntry, c) })
	}
}

// TestCrowdAtProbes guards against the same at probe and metrics addresses, where a crowd
// must not take what the callers' requests need either.
func TestCrowdAtProbes(t *testing.T) {
	programs := []struct {
		name  string
		start siteMaker
	}{
		{"gateway", startGatewayProbes},
		{"entry", startEntryProbes},
		{"steward", startSteward},
		{"agent", startAgent},
	}
	for _, p := range programs {
		for _, c := range probeCases {
			t.Run(p.name+"_"+c.name, func(t *testing.T) { runCrowd(t, p.start, c) })
		}
	}
}
