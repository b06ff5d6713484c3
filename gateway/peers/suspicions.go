package peers

import (
	"time"

	"hornbeamtray/core/quarantine"
)

// maxReported bounds the suspicions that are taken from one report.
const maxReported = 256

// suspicion is a quarantine.Suspicion as it is sent to peers.
type suspicion struct {
	Part       string         `json:"part"`
	Others     []string       `json:"with,omitempty"` // other suspected parts of the same requests
	Crashes    int            `json:"crashes"`
	Begun      bool           `json:"begun,omitempty"`
	Proven     bool           `json:"proven,omitempty"`
	CrashedAge time.Duration  `json:"age"`
	TriedAge   *time.Duration `json:"tried,omitempty"`
}

func encodeSuspicions(suspicions []quarantine.Suspicion, now time.Time) []suspicion {
	list := make([]suspicion, len(suspicions))
	for i, s := range suspicions {
		list[i] = suspicion{Part: s.Part, Others: s.Others, Crashes: s.Crashes, Begun: s.Begun, Proven: s.Proven, CrashedAge: now.Sub(s.CrashedAt)}
		if !s.TriedAt.IsZero() {
			age := now.Sub(s.TriedAt)
			list[i].TriedAge = &age
		}
	}
	return list
}

func decodeSuspicions(suspicions []suspicion, now time.Time) []quarantine.Suspicion {
	list := make([]quarantine.Suspicion, min(len(suspicions), maxReported))
	for i := range list {
		s := suspicions[i]
		list[i] = quarantine.Suspicion{Part: s.Part, Others: s.Others, Crashes: s.Crashes, Begun: s.Begun, Proven: s.Proven, CrashedAt: now.Add(-max(0, s.CrashedAge))}
		if s.TriedAge != nil {
			list[i].TriedAt = now.Add(-max(0, *s.TriedAge))
		}
	}
	return list
}
