package fleet

import (
	"strings"
	"testing"
	"time"

	"hornbeamtray/core/trail"
)

var digest = strings.Repeat("ab", 32)

func sound() Configuration {
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
		want          string // path of the only fault; empty where there is none
	}{
		{"sound", sound(), ""},
		{"domain name", sound().WithDomain(NewDomain("East")), "domains[East].name"},
		{"service kind", sound().WithService(NewService("s", "other")), "services[s].kind"},
		{"service deadline", sound().WithService(NewService("s", Plain).WithDeadline(0)), "services[s].deadline"},
		{"idempotent call", sound().WithService(NewService("s", Plain).WithIdempotent("a b")), "services[s].idempotent"},
		{"digest form", sound().WithAccount(NewAccount("a", "xyz")), "accounts[a].digest"},
		{"digest twice", sound().WithAccount(NewAccount("c", digest)), "accounts[c].digest"},
		{"rate", sound().WithAccount(NewAccount("a", strings.Repeat("cd", 32)).WithRate(0, 1)), "accounts[a].rate"},
		{"burst", sound().WithAccount(NewAccount("a", strings.Repeat("cd", 32)).WithRate(1, 0)), "accounts[a].burst"},
		{"concurrent", sound().WithAccount(NewAccount("a", strings.Repeat("cd", 32)).WithMaxConcurrent(0)), "accounts[a].concurrent"},
		{"unknown service", sound().WithTarget(NewTarget("t", "none", "east", "10.0.0.2:1")), "targets[t].service"},
		{"unknown domain", sound().WithTarget(NewTarget("t", "quotes", "west", "10.0.0.2:1")), "targets[t].domain"},
		{"address is a name", sound().WithTarget(NewTarget("t", "quotes", "east", "host:7400")), "targets[t].address"},
		{"address port", sound().WithTarget(NewTarget("t", "quotes", "east", "10.0.0.2:70000")), "targets[t].address"},
		{"address twice", sound().WithTarget(NewTarget("t", "quotes", "east", "10.0.0.1:7400")), "targets[t].address"},
		{"limit", sound().WithTarget(NewTarget("t", "quotes", "east", "10.0.0.2:1").WithLimit(0).WithColdStart(1, 0)), "targets[t].limit"},
		{"cold over limit", sound().WithTarget(NewTarget("t", "quotes", "east", "10.0.0.2:1").WithLimit(4).WithColdStart(5, 0)), "targets[t].cold"},
		{"warm time", sound().WithTarget(NewTarget("t", "quotes", "east", "10.0.0.2:1").WithColdStart(1, -1)), "targets[t].warm"},
		{"group target", sound().WithGroup(NewGroup("g2", 64, "m9")), "groups[g2].targets"},
		{"group overlap", sound().WithGroup(NewGroup("g2", 64, "m1")), "groups[g2].targets"},
		{"experts", sound().WithGroup(NewGroup("g1", 0, "m1")), "groups[g1].experts"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			faults := tt.configuration.Check()
			if tt.want == "" && len(faults) == 0 {
				return
			}
			if len(faults) != 1 || faults[0].Path != tt.want || faults[0].Remedy == "" {
				t.Errorf("faults %v, want one at %q with a remedy", faults, tt.want)
			}
		})
	}
}

func TestAcceptNeverGoesBack(t *testing.T) {
	now := time.Unix(0, 0)
	fault := []Fault{{Path: "p", Problem: "bad", Remedy: "mend"}}
	tests := []struct {
		name    string
		inForce uint64
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
			c, changes := sound().WithVersion(tt.offered).Accept(sound().WithVersion(tt.inForce), trail.Trail{}, tt.faults, now)
			if c.Version != tt.want || len(changes.Changes()) != tt.changes {
				t.Errorf("version %d with %d changes, want %d with %d", c.Version, len(changes.Changes()), tt.want, tt.changes)
			}
		})
	}
}

func TestBears(t *testing.T) {
	tests := []struct {
		name          string
		configuration Configuration
		want          bool
	}{
		{"serving", sound(), true},
		{"leaving", sound().WithTarget(NewTarget("m1", "quotes", "east", "10.0.0.1:7400").WithLeaving(true)), false},
		{"domain out", sound().WithDomain(NewDomain("east").WithEvacuated(true)), false},
		{"removed", sound().WithoutTarget("m1"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.configuration.Available("m1"); got != tt.want {
				t.Errorf("Bears = %t, want %t", got, tt.want)
			}
		})
	}
}
