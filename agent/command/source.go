package command

import (
	"time"

	"hornbeamtray/agent/serve"
	"hornbeamtray/core/trail"
)

// source provides an agent's state to the admin server.
type source struct {
	service *serve.Service
}

// shownState is the state of an agent as shown to operators.
type shownState struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	Version     uint64 `json:"version"` // of the configuration in force
	Taking      bool   `json:"taking"`
	Limit       int    `json:"limit"`
	Running     int    `json:"running"`
	Readers     int    `json:"readers"`
	Ledger      int    `json:"ledger"` // number of records
	Held        int64  `json:"held"`   // bytes used by or reserved for answers
}

// Ready reports whether the target takes new work.
func (s source) Ready() bool { return s.service.State().Taking() }

// Show returns the agent's current state.
func (s source) Show() any {
	state := s.service.State()
	return shownState{
		Target: state.Name, Incarnation: state.Incarnation, Version: state.Configuration.Version,
		Taking: state.Taking(), Limit: state.Limit(time.Now()), Running: state.Running, Readers: state.Readers,
		Ledger: state.Ledger.Len(), Held: state.Held(),
	}
}

// Trail returns the audit trail.
func (s source) Trail() trail.Trail { return s.service.State().Trail }
