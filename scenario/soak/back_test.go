package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"
)

// applyTime is how long a change of the configuration may take to come into force.
const applyTime = 2 * time.Second

// statusWith returns the status of a request with a tenant's key at a gateway.
func (w *world) statusWith(t *testing.T, g *gateway, tenant, id string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+g.address+"/again/x", strings.NewReader("body"))
	must(t, err)
	request.Host = "soak.example"
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "1500", "Authorization": "Token key-" + tenant} {
		request.Header.Set(name, value)
	}
	w.ledger.recordSent(id, tenant, false)
	response, err := http.DefaultClient.Do(request)
	must(t, err)
	defer response.Body.Close()
	return response.StatusCode
}

// TestChangesAfterStoreWentBack guards against gateways that ignore what is written after
// the store came back from an older copy: it has revisions that were given out before. A
// key that was taken away stays so although the copy has it.
func TestChangesAfterStoreWentBack(t *testing.T) {
	tests := []struct {
		name  string
		lost  int // writes after the one that takes the key away
		after int // unrelated writes after the first new one
	}{
		{"far below the revisions held", 6, 0},
		{"equal to the revision held", 0, 0},
		{"above the revision held", 0, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, firstNetwork+int(worldCount.Add(1)%networkCount), rand.New(rand.NewPCG(11, 2)))
			w.replaceKey(true) // x1
			time.Sleep(2 * time.Second)
			w.replaceKey(true) // x2 in place of x1
			for i := range tt.lost {
				w.store.put("servers/odd", i)
			}
			time.Sleep(time.Second)
			w.store.setFault(func(s *store) { s.outage = "busy" })
			time.Sleep(500 * time.Millisecond)
			w.store.goBack(2500 * time.Millisecond) // to where x1 has its key
			w.replaceKey(true)                      // x3 in place of x2
			for i := range tt.after {
				w.store.put("servers/odd", i)
			}
			w.store.setFault(func(s *store) { s.outage = "" })
			w.checkKeys(t, "after the return", map[string]int{"x1": http.StatusUnauthorized, "x2": http.StatusUnauthorized, "x3": http.StatusOK})
			w.replaceKey(true) // x4 in place of x3
			restart(&w.gateways[1].process, time.Second)
			w.checkKeys(t, "after a restart", map[string]int{"x1": http.StatusUnauthorized, "x3": http.StatusUnauthorized, "x4": http.StatusOK})
			w.stopGateways()
			w.report(t, 0, 0)
		})
	}
}

// checkKeys checks, once a change must be in force, the status of requests with the keys
// of tenants at each gateway.
func (w *world) checkKeys(t *testing.T, when string, want map[string]int) {
	t.Helper()
	time.Sleep(applyTime)
	for tenant, status := range want {
		for _, g := range w.gateways {
			if got := w.statusWith(t, g, tenant, fmt.Sprintf("check-%s-%s-%d", tenant, g.name, len(when))); got != status {
				t.Errorf("%s, %s answers a request of %s with status %d, want %d", when, g.name, tenant, got, status)
			}
		}
	}
}
