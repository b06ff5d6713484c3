package document

import (
	"errors"
	"testing"
	"time"
)

// FuzzSettings parses arbitrary texts as settings of each program and as a configuration. The
// error is a list of faults, and bounds that come into use are within their ranges.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"name": "g", "domain": "d", "listen": "10.0.0.1:1", "admin": "10.0.0.1:2", "metrics": "10.0.0.1:3", "control": "10.0.0.1:4", "store": "10.0.0.9:5",
  "peers": ["10.0.0.2:4"], "revoke": "5000ms", "overshoot": 1.5, "slack": 5e400, "grace": "-8s", "memory": null, "connections": "x", "stewards": 7340.5}`))
	f.Add([]byte(`{"name": "s", "ip": "10.0.0.1", "port": 7340, "metrics": "10.0.0.1:3", "store": "10.0.0.9:5", "target": "10.0.0.1:8", "service": "llm"} // end`))
	f.Add([]byte(`{"name": "e", "domain": "d", "listen": "10.0.0.1:1", "admin": "10.0.0.1:2", "platform": "http://10.0.0.9:5", "memory": 16777216, "silence": "1s",}`))
	f.Add([]byte(`{"name": "a", "listen": "10.0.0.1:1", "admin": "10.0.0.1:2", "platform": "http://10.0.0.9:5", "target": "http://10.0.0.1:8", "held": 1048576}`))
	f.Add([]byte(`{"domains": [{"name": "east"}], "targets": [{"name": "m1", "service": "quotes", "domain": "east", "limit": 9}], "targets": 7, /* x */}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		check := func(err error) bool {
			var faults Faults
			if err != nil && (!errors.As(err, &faults) || len(faults) == 0) {
				t.Errorf("error %v is no list of faults", err)
			}
			return err == nil
		}
		g, err := ParseGatewaySettings(text)
		if check(err) && (g.Memory.Whole() < minMemory || g.Memory > maxMemory || g.MaxConnections.Whole() < minConnections || g.MaxConnections > maxConnections ||
			g.MaxRevocationDelay < TimeBound(minRevocationDelay) || g.GracePeriod < TimeBound(time.Second) || g.Linger < 0 || !(g.ColdOvershoot >= 0) || !(g.ColdSlack >= 0) || !(g.MaxExtraRetries >= 0)) {
			t.Errorf("settings are %+v", g)
		}
		_, err = ParseStewardSettings(text)
		check(err)
		e, err := ParseEntrySettings(text)
		if check(err) && (e.Memory < minMemory || e.MaxConnections < minConnections || e.MaxBodyBytes < 1) {
			t.Errorf("settings are %+v", e)
		}
		_, err = ParseAgentSettings(text)
		check(err)
		_, err = ParseConfiguration(text)
		check(err)
	})
}
