package dispatch_test

import (
	"fmt"
	"testing"

	"hornbeamtray/core/dispatch"
)

func TestBudget(t *testing.T) {
	s := state()
	retries := 0
	for range 100 {
		next, allowed := s.WithRetry("s")
		if s = next; allowed {
			retries++
		}
	}
	// The limit for ten gateways together is 90 retries, plus a fifth of the requests
	// that they receive, in any 10 s. This checks the full budget of one gateway.
	if retries > 10 {
		t.Errorf("the budget allowed %d retries without first attempts, want at most 10", retries)
	}
}

// TestRetriesOfAllGateways guards against overspending the retry budget that all
// gateways share: while no attempt succeeds, they retry as often as their budgets
// allow. The bounds are those of sites with this many gateways; the requests are those
// of 10 s, in which the retries are counted.
func TestRetriesOfAllGateways(t *testing.T) {
	tests := []struct {
		gateways, requests int
		extra              float64
	}{
		{6, 800, 88},
		{44, 2600, 240},
		{149, 4800, 648},
		{149, 0, 648},
		{7, 300, 90.5},
		{7, 300, 0.9},
		{7, 300, 0},
		{7, 0, 0},
		{149, 0, 100},
		{149, 600, 100.25},
	}
	for _, tt := range tests {
		limits := bounds
		limits.MaxExtraRetries, limits.LimitRetries = tt.extra, true
		retries := 0
		for range tt.gateways {
			s := dispatch.New("g", "d1", limits).WithBook(book(1), at(0))
			for peer := range tt.gateways - 1 {
				s = s.WithPeerReport(fmt.Sprint(peer), nil, nil, at(0))
			}
			for range tt.requests/tt.gateways + 1 {
				if tt.requests > 0 {
					s, _, _ = s.Admit(dispatch.Request{Host: "h", Path: "/open/"}, 0, at(0))
				}
				for allowed := true; allowed; {
					if s, allowed = s.WithRetry("s"); allowed {
						retries++
					}
				}
			}
		}
		if limit := float64(tt.requests)/5 + tt.extra; float64(retries) > limit {
			t.Errorf("%d gateways retried %d times for %d requests, want at most %g", tt.gateways, retries, tt.requests, limit)
		}
	}
	alone := bounds
	alone.MaxExtraRetries, alone.LimitRetries = 648, true
	if s, allowed := dispatch.New("g", "d1", alone).WithRetry("s"); !allowed {
		t.Error("a gateway that has met no other may not retry at all")
	} else if _, allowed = s.WithRetry("s"); allowed {
		t.Error("a gateway that has met no other retries twice without requests; many may have just started")
	}
}
