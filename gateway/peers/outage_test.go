package peers_test

import (
	"testing"
	"time"

	"hornbeamtray/core/dispatch"
	"hornbeamtray/core/roster"
	"hornbeamtray/gateway/follow"
)

// TestStoreThatFailsOneGateway guards against a target that gets work after its entry was
// removed, since the store did not answer this gateway for a moment while it answered others.
func TestStoreThatFailsOneGateway(t *testing.T) {
	tests := []struct {
		name         string
		began, ended time.Duration // of the other gateway's read, after the first of the reads that failed here until 100 ms
		keepsServing bool
	}{
		{"read meanwhile", 20 * time.Millisecond, 60 * time.Millisecond, false},
		{"read by a watch all the while", -300 * time.Millisecond, 500 * time.Millisecond, false},
		{"read before", -300 * time.Millisecond, -50 * time.Millisecond, true},
		{"read after the return", 150 * time.Millisecond, 200 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			one := startGateway(t, "one", "")
			other := startGateway(t, "other", one.address)
			other.service.send(t)
			eventually(t, "the gateways know each other", func() bool { return nextTarget(one) == "b" })
			time.Sleep(600 * time.Millisecond)
			first := time.Now().Add(-500 * time.Millisecond)
			one.mirror.SetStoreAccess(follow.StoreAccess{LastRead: first.Add(200 * time.Millisecond), ReadBegan: first.Add(190 * time.Millisecond), LastFailure: first.Add(110 * time.Millisecond)})
			one.service.Change(func(s dispatch.State, now time.Time) dispatch.State {
				return s.WithStoreLost(first, first.Add(100*time.Millisecond), now).WithStoreRegained(now).
					WithUpdate(dispatch.Update{Removals: []dispatch.Removal{{Target: "a", Revision: 9}}}, now)
			})
			other.mirror.SetStoreAccess(follow.StoreAccess{LastRead: first.Add(tt.ended), ReadBegan: first.Add(tt.began)})
			time.Sleep(1200 * time.Millisecond) // three reports
			serving := one.service.State().Roster.Serving("s", time.Now())
			if keepsServing := len(serving) == 2; keepsServing != tt.keepsServing {
				t.Errorf("targets %v get work, want the removed one among them: %t", ids(serving), tt.keepsServing)
			}
		})
	}
}

func ids(targets []roster.Target) []string {
	var list []string
	for _, t := range targets {
		list = append(list, t.ID)
	}
	return list
}
