package document_test

import (
	"errors"
	"strings"
	"testing"

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
		_, err := document.ParseGatewaySettings(text)
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
