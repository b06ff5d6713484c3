package peers

import (
	"time"

	"hornbeamtray/core/quarantine"
)

// maxReported bounds the suspicions that are taken from one report.
const maxReported = 256

// suspicion is a quarantine.Suspicion as it is sent to peers.
type suspicion struct {
	Part     string         `json:"part"`
	Crashes  []crash        `json:"crashes"`
	Proven   bool           `json:"proven,omitempty"`
	TriedAge *time.Duration `json:"tried,omitempty"`
}

// crash is a quarantine.Crash as it is sent to peers.
type crash struct {
	ID      string        `json:"id"`
	Age     time.Duration `json:"age"`
	Begun   bool          `json:"begun,omitempty"`
	Cleared bool          `json:"cleared,omitempty"`
	Others  []string      `json:"with,omitempty"` // other parts of the same request
}

func encodeSuspicions(suspicions []quarantine.Suspicion, now time.Time) []suspicion {
	list := make([]suspicion, len(suspicions))
	for i, s := range suspicions {
		list[i] = suspicion{Part: s.Part, Proven: s.ProvenBefore}
		for _, c := range s.Crashes {
			list[i].Crashes = append(list[i].Crashes, crash{ID: c.ID, Age: now.Sub(c.At), Begun: c.Begun, Cleared: c.Cleared, Others: c.Others})
		}
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
		list[i] = quarantine.Suspicion{Part: s.Part, ProvenBefore: s.Proven}
		for _, c := range s.Crashes {
			list[i].Crashes = append(list[i].Crashes, quarantine.Crash{ID: c.ID, At: now.Add(-max(0, c.Age)), Begun: c.Begun, Cleared: c.Cleared, Others: c.Others})
		}
		if s.TriedAge != nil {
			list[i].TriedAt = now.Add(-max(0, *s.TriedAge))
		}
	}
	return list
}
