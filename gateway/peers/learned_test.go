package peers_test

import (
	"slices"
	"testing"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/quarantine"
)

// TestSuspicionsReachPeers checks that a part that crashed a target at one gateway is
// quarantined at its peers, that a gateway that starts later learns it too, and that the
// proof of a peer ends the quarantine everywhere.
func TestSuspicionsReachPeers(t *testing.T) {
	a := startGateway(t, "a", "")
	b := startGateway(t, "b", a.address)
	parts := []string{"first", "dead"}
	b.service.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithProof(parts[:1], now) })
	a.service.Change(func(s dispatch.State, now time.Time) dispatch.State {
		return s.WithCrash("t", parts, quarantine.Begun, now.Add(-20*time.Second))
	})
	quarantined := func(g gateway) func() bool {
		return func() bool { return slices.Equal(g.service.State().Quarantined(), []string{"dead"}) }
	}
	eventually(t, "the gateway that saw the crash learns which part is proven", quarantined(a))
	eventually(t, "its peer learns which part is quarantined", quarantined(b))
	c := startGateway(t, "c", b.address)
	eventually(t, "a gateway that starts later learns it", quarantined(c))
	c.service.Change(func(s dispatch.State, now time.Time) dispatch.State { return s.WithProof(parts, now) })
	for _, g := range []gateway{a, b, c} {
		eventually(t, "a proof ends the quarantine everywhere", func() bool { return len(g.service.State().Quarantined()) == 0 })
	}
}

// TestDeparturesReachPeers checks that a target that said to one gateway that it leaves
// gets no work from its peers, nor from a gateway that starts later.
func TestDeparturesReachPeers(t *testing.T) {
	a := startGateway(t, "a", "")
	b := startGateway(t, "b", a.address)
	leaving, _ := a.service.State().Roster.Target("a")
	a.service.Change(func(s dispatch.State, now time.Time) dispatch.State {
		return s.WithLeaving(leaving, now.Add(-10*time.Second))
	})
	eventually(t, "a peer learns it", func() bool { return b.service.State().SaidLeaving(leaving) })
	c := startGateway(t, "c", b.address)
	eventually(t, "a gateway that starts later learns it", func() bool { return c.service.State().SaidLeaving(leaving) })
}
