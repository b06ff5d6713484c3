package fleet

import (
	"strings"
	"testing"
	"time"

	"hornbeamtray/core/trail"
)

var digest = strings.Repeat("ab", 32)

func validConfiguration() Configuration {
	return NewConfiguration().
		WithDomain(NewDomain("east")).
		WithService(NewService("quotes", Model).WithIdempotent("generate")).
		WithAccount(NewAccount("bench", digest)).
		WithTarget(NewTarget("m1", "quotes", "east", "10.0.0.1:7400")).
		WithTarget(NewTarget("m2", "quotes", "east", "[::1]:7400")).
		WithGroup(NewGroup("g1", 64, "m1", "m2"))
}

func TestCheckFindsEachFault(t *testing.T) {
	tests := []struct {
		name          string
		configuration Configuration
		want          string // path of the only fault, or "" for no fault
	}{
		{"valid", validConfiguration(), ""},
		{"domain name", validConfiguration().WithDomain(NewDomain("East")), "domains[East].name"},
		{"service kind", validConfiguration().WithService(NewService("s", "other")), "services[s].kind"},
		{"service deadline", validConfiguration().WithService(NewService("s", Plain).WithDeadline(0)), "services[s].deadline"},
		{"idempotent call", validConfiguration().WithService(NewService("s", Plain).WithIdempotent("a b")), "services[s].idempotent"},
		{"invalid digest", validConfiguration().WithAccount(NewAccount("a", "xyz")), "accounts[a].digest"},
		{"duplicate digest", validConfiguration().WithAccount(NewAccount("c", digest)), "accounts[c].digest"},
		{"rate", validConfiguration().WithAccount(NewAccount("a", strings.Repeat("cd", 32)).WithRate(0, 1)), "accounts[a].rate"},
		{"burst", validConfiguration().WithAccount(NewAccount("a", strings.Repeat("cd", 32)).WithRate(1, 0)), "accounts[a].burst"},
		{"concurrent", validConfiguration().WithAccount(NewAccount("a", strings.Repeat("cd", 32)).WithMaxConcurrent(0)), "accounts[a].concurrent"},
		{"unknown service", validConfiguration().WithTarget(NewTarget("t", "none", "east", "10.0.0.2:1")), "targets[t].service"},
		{"unknown domain", validConfiguration().WithTarget(NewTarget("t", "quotes", "west", "10.0.0.2:1")), "targets[t].domain"},
		{"address is a name", validConfiguration().WithTarget(NewTarget("t", "quotes", "east", "host:7400")), "targets[t].address"},
		{"port out of range", validConfiguration().WithTarget(NewTarget("t", "quotes", "east", "10.0.0.2:70000")), "targets[t].address"},
		{"duplicate address", validConfiguration().WithTarget(NewTarget("t", "quotes", "east", "10.0.0.1:7400")), "targets[t].address"},
		{"limit", validConfiguration().WithTarget(NewTarget("t", "quotes", "east", "10.0.0.2:1").WithLimit(0).WithColdStart(1, 0)), "targets[t].limit"},
		{"cold over limit", validConfiguration().WithTarget(NewTarget("t", "quotes", "east", "10.0.0.2:1").WithLimit(4).WithColdStart(5, 0)), "targets[t].cold"},
		{"negative ramp-up", validConfiguration().WithTarget(NewTarget("t", "quotes", "east", "10.0.0.2:1").WithColdStart(1, -1)), "targets[t].warm"},
		{"unknown target in group", validConfiguration().WithGroup(NewGroup("g2", 64, "m9")), "groups[g2].targets"},
		{"target in two groups", validConfiguration().WithGroup(NewGroup("g2", 64, "m1")), "groups[g2].targets"},
		{"experts", validConfiguration().WithGroup(NewGroup("g1", 0, "m1")), "groups[g1].experts"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			faults := tt.configuration.Check()
			if tt.want == "" && len(faults) == 0 {
				return
			}
			if len(faults) != 1 || faults[0].Path != tt.want || faults[0].Remedy == "" {
				t.Errorf("faults = %v, want one at %q with a remedy", faults, tt.want)
			}
		})
	}
}

func TestAcceptNeverGoesBack(t *testing.T) {
	now := time.Unix(0, 0)
	fault := []Fault{{Path: "p", Problem: "bad", Remedy: "mend"}}
	tests := []struct {
		name    string
		current uint64
		offered uint64
		faults  []Fault
		want    uint64
		changes int
	}{
		{"newer", 1, 2, nil, 2, 1},
		{"same", 2, 2, nil, 2, 0},
		{"older", 3, 2, nil, 3, 0},
		{"faulty", 1, 2, fault, 1, 1},
		{"older and faulty", 3, 2, fault, 3, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, changes := validConfiguration().WithVersion(tt.offered).Accept(validConfiguration().WithVersion(tt.current), trail.Trail{}, tt.faults, now)
			if c.Version != tt.want || len(changes.Changes()) != tt.changes {
				t.Errorf("version %d and %d trail entries, want %d and %d", c.Version, len(changes.Changes()), tt.want, tt.changes)
			}
		})
	}
}

func TestAvailable(t *testing.T) {
	tests := []struct {
		name          string
		configuration Configuration
		want          bool
	}{
		{"serving", validConfiguration(), true},
		{"leaving", validConfiguration().WithTarget(NewTarget("m1", "quotes", "east", "10.0.0.1:7400").WithLeaving(true)), false},
		{"domain evacuated", validConfiguration().WithDomain(NewDomain("east").WithEvacuated(true)), false},
		{"removed", validConfiguration().WithoutTarget("m1"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.configuration.Available("m1"); got != tt.want {
				t.Errorf("Available = %t, want %t", got, tt.want)
			}
		})
	}
}
