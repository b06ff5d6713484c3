package document_test

import (
	"errors"
	"regexp"
	"strings"
	"testing"
	"time"

	"hornbeamtray/adapter/document"
)

const gatewaySettings = `{
  "name": "g", "domain": "d", // a comment
  "listen": "10.0.0.1:1", "admin": "10.0.0.1:2", "metrics": "10.0.0.1:3", "control": "10.0.0.1:4", "store": "10.0.0.9:5",
  "peers": ["10.0.0.2:4"], "revoke": "5000ms", "overshoot": 1.5, "slack": 5, "grace": "8s"
}`

const stewardSettings = `{"name": "s", "ip": "10.0.0.1", "port": 7340, "metrics": "10.0.0.1:3", "store": "10.0.0.9:5", "target": "10.0.0.1:8", "service": "llm"}`

func TestProgramSettings(t *testing.T) {
	gateway := func(text []byte) error {
		s, err := document.ParseGatewaySettings(text)
		if err == nil && len(s.Replaced()) > 0 {
			return s.Replaced()
		}
		return err
	}
	steward := func(text []byte) error {
		_, err := document.ParseStewardSettings(text)
		return err
	}
	tests := []struct {
		name, old, new string
		parse          func([]byte) error
		text           string
		faults         []string // the paths of the expected faults
	}{
		{"valid gateway", "", "", gateway, gatewaySettings, nil},
		{"no name", `"g"`, `""`, gateway, gatewaySettings, []string{"name"}},
		{"store without port", "10.0.0.9:5", "10.0.0.9", gateway, gatewaySettings, []string{"store"}},
		{"peer with a host name", "10.0.0.2:4", "host:4", gateway, gatewaySettings, []string{"peers"}},
		{"revoke without unit", "5000ms", "5000", gateway, gatewaySettings, []string{"revoke"}},
		{"revoke too short", "5000ms", "5ms", gateway, gatewaySettings, []string{"revoke"}},
		{"admin same as listen", "10.0.0.1:2", "10.0.0.1:1", gateway, gatewaySettings, []string{"admin"}},
		{"unknown member", `"slack"`, `"slick"`, gateway, gatewaySettings, []string{"slick"}},
		{"two faults at once", "10.0.0.1:3", "x", gateway, strings.Replace(gatewaySettings, `"d"`, `""`, 1), []string{"domain", "metrics"}},
		{"valid steward", "", "", steward, stewardSettings, nil},
		{"no target", "10.0.0.1:8", "", steward, stewardSettings, []string{"target"}},
		{"port out of range", "7340", "73400", steward, stewardSettings, []string{"port"}},
		{"port with a fraction of zero", "7340", "7340.0", steward, stewardSettings, nil},
		{"port with an exponent", "7340", "7.34e3", steward, stewardSettings, nil},
		{"port with a fraction", "7340", "7340.5", steward, stewardSettings, []string{"port"}},
		{"port as a truth value", "7340", "true", steward, stewardSettings, []string{"port"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.parse([]byte(strings.Replace(tt.text, tt.old, tt.new, 1)))
			var faults document.Faults
			if !errors.As(err, &faults) && len(tt.faults) > 0 || len(faults) != len(tt.faults) {
				t.Fatalf("error is %v, want faults at %q", err, tt.faults)
			}
			for i, path := range tt.faults {
				if !strings.Contains(faults[i].String(), path) || faults[i].Line == 0 {
					t.Errorf("fault %d is %s, want a fault at %s with a line", i, faults[i], path)
				}
			}
		})
	}
}

// TestBounds guards against a process that ends at each start, or ignores a bound, because
// the platform writes a bound in another notation than before.
func TestBounds(t *testing.T) {
	type bounds struct {
		overshoot, slack, retries float64
		revoke, grace             time.Duration
		memory, connections       int
	}
	usual := bounds{1.5, 5, 90, 5 * time.Second, 8 * time.Second, 64 << 20, 500}
	tests := []struct {
		name, path, value string
		want              func(*bounds)
		replaced          bool
	}{
		{"whole", "retries", "91", func(b *bounds) { b.retries = 91 }, false},
		{"fraction", "retries", "90.5", func(b *bounds) { b.retries = 90.5 }, false},
		{"exponent", "retries", "9.1e1", func(b *bounds) { b.retries = 91 }, false},
		{"zero", "retries", "0", func(b *bounds) { b.retries = 0 }, false},
		{"negative", "retries", "-1", func(b *bounds) { b.retries = 0 }, true},
		{"large", "retries", "1e18", func(b *bounds) { b.retries = 1e6 }, true},
		{"truth value", "retries", "true", func(b *bounds) { b.retries = 0 }, true},
		{"null", "retries", "null", func(b *bounds) { b.retries = 0 }, true},
		{"text", "retries", `"many"`, func(b *bounds) { b.retries = 0 }, true},
		{"table", "retries", `{"a": 1}`, func(b *bounds) { b.retries = 0 }, true},
		{"fraction", "slack", "4.5", func(b *bounds) { b.slack = 4.5 }, false},
		{"exponent", "slack", "5E-1", func(b *bounds) { b.slack = .5 }, false},
		{"zero", "slack", "0", func(b *bounds) { b.slack = 0 }, false},
		{"truth value", "slack", "false", func(b *bounds) { b.slack = 0 }, true},
		{"beyond float64", "slack", "1e400", func(b *bounds) { b.slack = 1e6 }, true},
		{"whole", "overshoot", "2", func(b *bounds) { b.overshoot = 2 }, false},
		{"truth value", "overshoot", "true", func(b *bounds) { b.overshoot = 1 }, true},
		{"fraction", "revoke", `"4500.5ms"`, func(b *bounds) { b.revoke = 4500500 * time.Microsecond }, false},
		{"exponent", "revoke", `"4.5e+03ms"`, func(b *bounds) { b.revoke = 4500 * time.Millisecond }, false},
		{"zero", "revoke", `"0ms"`, func(b *bounds) { b.revoke = time.Second }, true},
		{"large", "revoke", `"1e300ms"`, func(b *bounds) { b.revoke = time.Hour }, true},
		{"truth value", "revoke", `"truems"`, func(b *bounds) { b.revoke = 2 * time.Second }, true},
		{"no value", "revoke", `"ms"`, func(b *bounds) { b.revoke = 2 * time.Second }, true},
		{"fraction", "grace", `"7.5s"`, func(b *bounds) { b.grace = 7500 * time.Millisecond }, false},
		{"exponent", "grace", `"8e0s"`, func(*bounds) {}, false},
		{"zero", "grace", `"0s"`, func(b *bounds) { b.grace = time.Second }, true},
		{"truth value", "grace", `"falses"`, func(b *bounds) { b.grace = 4 * time.Second }, true},
		{"whole", "memory", "50000000", func(b *bounds) { b.memory = 50_000_000 }, false},
		{"fraction", "memory", "50000000.5", func(b *bounds) { b.memory = 50_000_000 }, false},
		{"exponent", "memory", "5e7", func(b *bounds) { b.memory = 50_000_000 }, false},
		{"zero", "memory", "0", func(b *bounds) { b.memory = 16 << 20 }, true},
		{"negative", "memory", "-1e400", func(b *bounds) { b.memory = 16 << 20 }, true},
		{"beyond float64", "memory", "1e400", func(b *bounds) { b.memory = 1 << 40 }, true},
		{"null", "memory", "null", func(b *bounds) { b.memory = 32 << 20 }, true},
		{"text", "memory", `"64M"`, func(b *bounds) { b.memory = 32 << 20 }, true},
		{"whole", "connections", "100", func(b *bounds) { b.connections = 100 }, false},
		{"exponent", "connections", "1e3", func(b *bounds) { b.connections = 1000 }, false},
		{"zero", "connections", "0", func(b *bounds) { b.connections = 16 }, true},
		{"large", "connections", "1e18", func(b *bounds) { b.connections = 1_000_000 }, true},
		{"truth value", "connections", "true", func(b *bounds) { b.connections = 2000 }, true},
	}
	member := func(path string) *regexp.Regexp { return regexp.MustCompile(`"` + path + `": [^,}\s]+`) }
	text := strings.Replace(gatewaySettings, `"slack"`, `"retries": 90, "memory": 67108864, "connections": 500, "slack"`, 1)
	for _, tt := range tests {
		t.Run(tt.path+"/"+tt.name, func(t *testing.T) {
			want := usual
			tt.want(&want)
			s, err := document.ParseGatewaySettings(member(tt.path).ReplaceAll([]byte(text), []byte(`"`+tt.path+`": `+tt.value)))
			if err != nil {
				t.Fatalf("the gateway would not start: %v", err)
			}
			got := bounds{float64(s.ColdOvershoot), float64(s.ColdSlack), float64(s.MaxExtraRetries), time.Duration(s.MaxRevocationDelay), time.Duration(s.GracePeriod), s.Memory.Whole(), s.MaxConnections.Whole()}
			if got != want || !s.HasRetryBound() {
				t.Errorf("bounds are %+v, want %+v", got, want)
			}
			if faults := s.Replaced(); (len(faults) == 1) != tt.replaced || tt.replaced && (faults[0].Path != tt.path || faults[0].Line == 0) {
				t.Errorf("replaced bounds are %v, want one: %t", faults, tt.replaced)
			}
		})
	}
}

// TestDefaultsForCallers guards against a process that bounds neither the memory nor the
// connections that callers take because its settings don't name the bounds.
func TestDefaultsForCallers(t *testing.T) {
	gateway, err := document.ParseGatewaySettings([]byte(gatewaySettings))
	if err != nil || len(gateway.Replaced()) > 0 {
		t.Fatalf("error is %v and replaced bounds are %v, want none", err, gateway.Replaced())
	}
	entry, err := document.ParseEntrySettings([]byte(`{"name": "e", "domain": "d", "listen": "10.0.0.1:1", "admin": "10.0.0.1:2", "platform": "http://10.0.0.9:5"}`))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		program             string
		memory, connections int
	}{
		{"gateway", gateway.Memory.Whole(), gateway.MaxConnections.Whole()},
		{"entry", int(entry.Memory), entry.MaxConnections},
	}
	for _, tt := range tests {
		if tt.memory != 33_554_432 || tt.connections != 2000 {
			t.Errorf("%s: %d bytes and %d connections, want 33554432 and 2000", tt.program, tt.memory, tt.connections)
		}
	}
}
