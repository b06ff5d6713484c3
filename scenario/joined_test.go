package scenario

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"hornbeamtray/adapter/wire"
	"hornbeamtray/agent/engine"
	agentfront "hornbeamtray/agent/front"
	agentserve "hornbeamtray/agent/serve"
	"hornbeamtray/core/entry"
	"hornbeamtray/core/fleet"
	"hornbeamtray/core/target"
	"hornbeamtray/entry/agents"
	"hornbeamtray/entry/front"
	"hornbeamtray/entry/serve"
	"hornbeamtray/entry/watch"
	"hornbeamtray/operator/caller"
	standin "hornbeamtray/standin/engine"
)

// BenchmarkJoined measures the same path as BenchmarkPath with all parts in one
// process, so that it counts the allocations of all parts.
func BenchmarkJoined(b *testing.B) {
	standinServer := httptest.NewServer(standin.New("plain").Handler())
	defer standinServer.Close()
	agentListener, entryListener := listen(b), listen(b)
	c := fleet.NewConfiguration().WithVersion(1).WithDomain(fleet.NewDomain("d0")).
		WithService(fleet.NewService("orders", fleet.Plain).WithIdempotent("status")).
		WithAccount(fleet.NewAccount("workshop", demoDigest()).WithRate(1e5, 100_000)).
		WithTarget(fleet.NewTarget("t0", "orders", "d0", agentListener.Addr().String()))

	agent := agentserve.New(target.New("t0", "i", target.WithHeldBytes(1<<30)), engine.New(standinServer.URL), discard{}, discard{})
	defer agent.Close()
	agent.Offer(c, nil)
	server, err := wire.NewServer(agentListener, agentfront.New(agent))
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	client := wire.NewClient()
	defer client.Close()
	agentClient := agents.New("e0", "d0", serve.DefaultAgentTimeout, client)
	service := serve.New(entry.New("e0", "d0"), agentClient, discard{}, discard{})
	defer service.Close()
	service.Offer(c, nil)
	watchers := watch.New(agentClient, service)
	defer watchers.Close()
	callers := front.New(entryListener, service, discard{})
	defer callers.Close()
	time.Sleep(200 * time.Millisecond) // wait for the first report

	base := "http://" + entryListener.Addr().String() + "/v1/services/orders/"
	tests := []struct{ name, url string }{
		{"direct", standinServer.URL + "/status"},
		{"through, idempotent", base + "status"},
		{"through, at most once", base + "book"},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				answer, err := caller.Send(context.Background(), caller.Request{URL: tt.url, Key: "demo-key", Body: "{}"})
				if err != nil || answer.Status != http.StatusOK {
					b.Fatalf("%v %+v", err, answer)
				}
			}
		})
	}
}

func listen(b *testing.B) net.Listener {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return listener
}
