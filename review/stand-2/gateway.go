package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// The names of the small deployment that all cases share.
const (
	host    = "ficu95.example"
	tenant  = "hule930"
	key     = "n2ctnfzs989anu6wsjnb"
	service = "wuno96b"
)

// configuration returns a configuration with one route to the service of the cases.
func configuration(version int, route map[string]any, engine map[string]any) map[string]any {
	all := map[string]any{
		"name": "r-" + fmt.Sprint(route["path_prefix"]), "host": host, "timeout_ms": 8000, "latency_goal_ms": 400,
		"priority": 1, "service": service, "max_attempts": 2, "public": false,
	}
	for name, value := range route {
		all[name] = value
	}
	declared := map[string]any{"name": service, "health_path": "/health", "max_conns": 408, "cold_s": 0, "cold_per_s": 0}
	if engine != nil {
		declared["engine"] = engine
	}
	return map[string]any{
		"version": version, "routes": []any{all}, "services": []any{declared},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 1}},
	}
}

// entry returns the store's entry of a server.
func entry(address string, slots int, born int64) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "amman-a", "version": "v1", "slots": slots,
		"state": "ready", "cold_left_ms": 0, "sequence": 1, "born": born,
	}
}

// Gateway is a gateway process.
type Gateway struct {
	*Process
	Front string
	ip    string
	ready string
}

// StartGateways starts gateways of one zone and waits until all are ready.
func (w *World) StartGateways(store *Store, count int) ([]*Gateway, error) {
	var list []*Gateway
	var seeds []string
	addresses := make([]map[string]any, count)
	for i := range addresses {
		ip := w.IP()
		fields := map[string]any{
			"node_name": fmt.Sprintf("front-amman-a-%d", i+1), "zone": "amman-a", "ip": ip, "platform.address": store.Address,
			"internal_ports.0": 7340, "bounds.revoke_ms": 5000, "bounds.cold_overshoot": 1.5, "bounds.cold_slack": 5,
			"bounds.budget_extra_retries": 90, "bounds.grace_s": 8,
		}
		for _, name := range []string{"front", "ready", "control"} {
			address, err := Free(ip)
			if err != nil {
				return nil, err
			}
			fields["listen."+name] = address
		}
		seeds = append(seeds, fields["listen.control"].(string))
		addresses[i] = fields
	}
	for _, fields := range addresses {
		fields["seeds"] = seeds[:min(3, len(seeds))]
		p, err := w.Start("gateway", fields["node_name"].(string), fields)
		if err != nil {
			return nil, err
		}
		list = append(list, &Gateway{Process: p, Front: fields["listen.front"].(string), ip: fields["ip"].(string), ready: fields["listen.ready"].(string)})
	}
	for _, g := range list {
		if !Until(15*time.Second, g.IsReady) {
			return nil, fmt.Errorf("%s is not ready", g.name)
		}
	}
	time.Sleep(time.Second)
	return list, nil
}

// IsReady reports whether the gateway says that it is ready.
func (g *Gateway) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ready + "/hornbeamtray/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Request is a request of a client.
type Request struct {
	ID       string
	Method   string
	Path     string
	Body     []byte
	Deadline time.Duration
}

// Answer is what a client saw.
type Answer struct {
	Status   int
	Stamp    string
	Body     []byte
	Complete bool // the body ended as the protocol says
	Err      error
}

// String returns the answer as it is recorded.
func (a Answer) String() string {
	return fmt.Sprintf("status %d, stamp %q, %d bytes, complete %t, error %v", a.Status, a.Stamp, len(a.Body), a.Complete, a.Err)
}

// Send sends a request to an address on a new connection.
func Send(address string, r Request) Answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(r.Deadline + time.Second))
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		r.Method, r.Path, host, r.ID, r.Deadline.Milliseconds(), key)
	if r.Method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.Body))
	}
	text.WriteString("\r\n")
	text.Write(r.Body)
	go func() { _, _ = conn.Write(text.Bytes()) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Stamp: response.Header.Get("Server-Stamp"), Body: body, Complete: err == nil, Err: err}
}
