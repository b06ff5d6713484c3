package command

import (
	"time"

	"hornbeamtray/core/trail"
	"hornbeamtray/entry/serve"
)

// source provides the state of an entry instance to the admin server.
type source struct {
	service *serve.Service
}

// shownState is the state of an entry instance as shown to operators.
type shownState struct {
	Entry    string         `json:"entry"`
	Domain   string         `json:"domain"`
	Version  uint64         `json:"version"` // version of the configuration in force
	Ready    bool           `json:"ready"`
	InFlight int            `json:"inflight"`
	Targets  []shownTarget  `json:"targets"`
	Accounts []shownAccount `json:"accounts"`
}

type shownTarget struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Domain      string `json:"domain"`
	State       string `json:"state"` // "serving", "out", "leaving", "lost", "silent" or "ejected"
	Incarnation string `json:"incarnation,omitempty"`
	Running     int    `json:"running"`
	Own         int    `json:"own"` // requests of this instance in flight at the target
	Limit       int    `json:"limit"`
}

type shownAccount struct {
	Name       string  `json:"name"`
	Rate       float64 `json:"rate"`
	Burst      int     `json:"burst"`
	Concurrent int     `json:"concurrent"`
}

// Ready reports whether the load balancer should send requests to this instance.
func (s source) Ready() bool { return s.service.State().Ready() }

// Show returns the state of the instance and its view of all configured targets.
func (s source) Show() any {
	state := s.service.State()
	now := time.Now()
	out := shownState{
		Entry: state.Name, Domain: state.Domain, Version: state.Configuration.Version,
		Ready: state.Ready(), InFlight: state.InFlight, Targets: []shownTarget{}, Accounts: []shownAccount{},
	}
	for _, t := range state.Configuration.Targets() {
		view := state.View(t.Name)
		out.Targets = append(out.Targets, shownTarget{
			Name: t.Name, Service: t.Service, Domain: t.Domain, State: state.Condition(t.Name, now),
			Incarnation: view.Report.Incarnation, Running: view.Report.Running, Own: view.OwnInFlight, Limit: view.Report.Limit,
		})
	}
	for _, a := range state.Configuration.Accounts() {
		out.Accounts = append(out.Accounts, shownAccount{Name: a.Name, Rate: a.Rate, Burst: a.Burst, Concurrent: a.MaxConcurrent})
	}
	return out
}

// Trail returns the audit trail.
func (s source) Trail() trail.Trail { return s.service.State().Trail }
