package crowd

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"hornbeamtray/adapter/document"
	"hornbeamtray/core/fleet"
	standinengine "hornbeamtray/standin/engine"
	standinplatform "hornbeamtray/standin/platform"
)

// network is the third octet of the addresses of this run, so that two runs of the
// package don't meet.
var network = 1 + os.Getpid()%250

// Host numbers on the network of a run.
const (
	storeHost   = 1
	targetHost  = 2
	gatewayHost = 10
	agentHost   = 11
)

const (
	targetSlots       = 4096             // more than any crowd has members
	helperFilesBeside = 8192             // descriptors of an agent that runs as many requests, each with two of them
	heldBytes         = 1 << 30          // for answers of an agent; the most that its settings allow, so that it runs as many requests
	answerBytes       = 1 << 16          // limit on an answer, which the agent reserves for each run
	workTime          = 60 * time.Second // of a request that the crowd sends; longer than the crowd's stay beside the ordinary callers
)

func address(host, port int) string { return fmt.Sprintf("%s:%d", ip(host), port) }

func url(host, port int) string { return "http://" + address(host, port) }

// serve serves a handler on an address until the test ends.
func serve(t *testing.T, address string, handler http.Handler) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	must(t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// store stands in for the platform's metadata store. Its items don't change.
type store struct{ items []map[string]any }

func (s *store) put(key string, value any) {
	text, _ := json.Marshal(value)
	s.items = append(s.items, map[string]any{"key": key, "value": text, "revision": len(s.items) + 1})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := map[string]any{"items": s.items, "has_more": false, "store_revision": len(s.items)}
	if strings.HasSuffix(r.URL.Path, "kv-watch") {
		wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
		pause(r.Context(), time.Duration(wait)*time.Millisecond)
		answer = map[string]any{"events": []any{}, "has_more": false, "store_revision": len(s.items)}
	}
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(answer)
}

// startStore starts a store with the configuration of a gateway: a public route to a slow
// target and one with keys to a quick one.
func startStore(t *testing.T) {
	t.Helper()
	route := func(service string, public bool) map[string]any {
		return map[string]any{
			"name": service, "host": "crowd.example", "path_prefix": "/" + service + "/", "kind": "non_idempotent", "service": service,
			"timeout_ms": workTime.Milliseconds(), "latency_goal_ms": workTime.Milliseconds(), "max_attempts": 3, "public": public,
		}
	}
	s := &store{}
	s.put("op/config", map[string]any{
		"version": 1, "tenants": []any{map[string]any{"name": "ordinary", "api_keys": []string{"key-ordinary"}}},
		"routes":   []any{route("slow", true), route("quick", false)},
		"services": []any{map[string]any{"name": "slow"}, map[string]any{"name": "quick"}},
		"limits":   map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for n, service := range []string{"slow", "quick"} {
		s.put("servers/"+service, map[string]any{
			"service": service, "address": address(targetHost+n, 7100), "zone": "z0", "slots": targetSlots, "state": "ready", "born": time.Now().UnixMilli(),
		})
		serve(t, address(targetHost+n, 7100), server{slow: service == "slow"})
	}
	serve(t, address(storeHost, 7000), s)
}

// server stands in for one of the platform's servers.
type server struct{ slow bool }

func (s server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", "x")
	if s.slow {
		pause(r.Context(), workTime)
	}
	_, _ = w.Write([]byte("done\n"))
}

// startGateway starts a gateway for crowds of its callers.
func startGateway(t *testing.T, files int) site {
	t.Helper()
	startStore(t)
	settings := fmt.Sprintf(`{"name": "gateway", "domain": "z0", "listen": %q, "admin": %q, "metrics": %q, "control": %q, "store": %q,
		"peers": [], "revoke": "5s", "overshoot": 1.5, "slack": 5, "grace": "8s"}`,
		address(gatewayHost, 8000), address(gatewayHost, 8001), address(gatewayHost, 8002), address(gatewayHost, 8003), address(storeHost, 7000))
	p := startProcess(t, "gateway", settings, gatewayMemory, orDefault(files, gatewayFiles), "platform", "gateway")
	return site{
		process: p,
		door: door{
			addresses: []string{address(gatewayHost, 8000)}, maxBody: maxBodyBytes,
			start: "POST /slow/x HTTP/1.1\r\nHost: crowd.example\r\n",
		},
		calls: []call{
			{method: http.MethodPost, url: url(gatewayHost, 8000) + "/quick/x", host: "crowd.example", body: "body", header: map[string]string{"Authorization": "Token key-ordinary"}},
			{method: http.MethodGet, url: url(gatewayHost, 8001) + "/hornbeamtray/ready"},
		},
	}
}

// startGatewayProbes starts a gateway for crowds at its probe and metrics addresses.
func startGatewayProbes(t *testing.T, files int) site {
	s := startGateway(t, files)
	s.door = probeDoor(address(gatewayHost, 8001), address(gatewayHost, 8002))
	s.calls = append(s.calls, call{method: http.MethodGet, url: url(gatewayHost, 8002) + "/metrics"})
	return s
}

// probeDoor returns the door of probe and metrics addresses.
func probeDoor(addresses ...string) door {
	return door{addresses: addresses, start: "POST /live HTTP/1.1\r\nHost: crowd.example\r\n", maxBody: maxBodyBytes}
}

// startSteward starts a steward for crowds at its metrics address.
func startSteward(t *testing.T, files int) site {
	t.Helper()
	startStore(t)
	settings := fmt.Sprintf(`{"name": "steward", "ip": %q, "port": 9100, "metrics": %q, "store": %q, "target": %q, "service": "slow"}`,
		ip(gatewayHost), address(gatewayHost, 9465), address(storeHost, 7000), address(targetHost, 7100))
	return site{
		process: startProcess(t, "steward", settings, helperMemory, orDefault(files, helperFiles), "platform", "steward"),
		door:    probeDoor(address(gatewayHost, 9465)),
		calls:   []call{{method: http.MethodGet, url: url(gatewayHost, 9465) + "/metrics"}},
	}
}

// startEntry starts an entry instance for crowds of its callers, with an agent.
func startEntry(t *testing.T, files int) site {
	t.Helper()
	entry, _ := startSystem(t, orDefault(files, gatewayFiles), helperFilesBeside)
	const work = `{"prompt": "x", "delay": "60s"}`
	return site{
		process: entry,
		door: door{
			addresses: []string{address(gatewayHost, 7400)}, body: work, maxBody: document.DefaultMaxBodyBytes,
			start: "POST /v1/services/orders/place HTTP/1.1\r\nHost: crowd.example\r\nAuthorization: Bearer crowd-key\r\n",
		},
		calls: []call{entryCall(), {method: http.MethodGet, url: url(gatewayHost, 7401) + "/ready"}},
	}
}

// startEntryProbes starts an entry instance for crowds at its admin address.
func startEntryProbes(t *testing.T, files int) site {
	s := startEntry(t, files)
	s.door = probeDoor(address(gatewayHost, 7401))
	return s
}

// startAgent starts an agent for crowds at its admin address, with an entry instance.
func startAgent(t *testing.T, files int) site {
	t.Helper()
	_, agent := startSystem(t, gatewayFiles, orDefault(files, helperFiles))
	return site{
		process: agent, door: probeDoor(address(agentHost, 7401)),
		calls: []call{entryCall(), {method: http.MethodGet, url: url(agentHost, 7401) + "/metrics"}},
	}
}

// entryCall returns an ordinary request to an entry instance.
func entryCall() call {
	return call{
		method: http.MethodPost, url: url(gatewayHost, 7400) + "/v1/services/orders/place", body: `{"prompt": "x"}`,
		header: map[string]string{"Authorization": "Bearer ordinary-key"},
	}
}

// startSystem starts an entry instance and an agent, with a target and the platform's
// configuration service. The processes may have the numbers of descriptors.
func startSystem(t *testing.T, entryFiles, agentFiles int) (entry, agent *process) {
	t.Helper()
	digest := func(key string) string {
		sum := sha256.Sum256([]byte(key))
		return hex.EncodeToString(sum[:])
	}
	account := func(name string) fleet.Account {
		return fleet.NewAccount(name, digest(name+"-key")).WithRate(100_000, 100_000).WithMaxConcurrent(targetSlots)
	}
	configuration := fleet.NewConfiguration().WithDomain(fleet.NewDomain("d0")).
		WithService(fleet.NewService("orders", fleet.Plain).WithDeadline(workTime)).
		WithAccount(account("crowd")).WithAccount(account("ordinary")).
		WithTarget(fleet.NewTarget("target", "orders", "d0", address(agentHost, 7400)).WithLimit(targetSlots))
	text, err := document.PrintConfiguration(configuration)
	must(t, err)
	platform := standinplatform.New().Handler()
	published := httptest.NewRecorder()
	platform.ServeHTTP(published, httptest.NewRequest(http.MethodPut, "/v1/configuration", strings.NewReader(string(text))))
	if published.Code != http.StatusOK {
		t.Fatalf("the platform answered the publication with status %d", published.Code)
	}
	serve(t, address(storeHost, 7400), platform)
	serve(t, address(targetHost, 7402), standinengine.New("plain").Handler())
	agent = startProcess(t, "agent", fmt.Sprintf(`{"name": "target", "listen": %q, "admin": %q, "platform": %q, "target": %q, "held": %d, "answer": %d}`,
		address(agentHost, 7400), address(agentHost, 7401), url(storeHost, 7400), url(targetHost, 7402), heldBytes, answerBytes), helperMemory, agentFiles, "agent")
	entry = startProcess(t, "entry", fmt.Sprintf(`{"name": "entry", "domain": "d0", "listen": %q, "admin": %q, "platform": %q, "calls": %d, "inflight": %d}`,
		address(gatewayHost, 7400), address(gatewayHost, 7401), url(storeHost, 7400), targetSlots, targetSlots), gatewayMemory, entryFiles, "entry")
	return entry, agent
}

// orDefault returns n, or the default if n is 0.
func orDefault(n, other int) int {
	if n == 0 {
		return other
	}
	return n
}
