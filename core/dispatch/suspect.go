package dispatch

import (
	"slices"
	"time"

	"hornbeamtray/core/quarantine"
	"hornbeamtray/core/refusal"
)

// Proven reports whether nothing would be learned from an answer to a request with the
// parts that got under way.
func (s State) Proven(parts []string, now time.Time) bool { return s.quarantine.Proven(parts, now) }

// WithProof returns the state after the answer to a request with the parts got under way.
func (s State) WithProof(parts []string, now time.Time) State {
	return s.withQuarantine(s.quarantine.WithProof(parts, now), "an answer got under way", now)
}

// WithCrash returns the state after a target crashed while it had a request with the
// parts, whose answer had made the given progress.
func (s State) WithCrash(target string, parts []string, progress quarantine.Progress, now time.Time) State {
	return s.withQuarantine(s.quarantine.WithCrash(parts, progress, now), "target "+target+" crashed", now)
}

// WithPeerSuspicions returns the state after a peer reported suspected parts.
func (s State) WithPeerSuspicions(reports []quarantine.Suspicion, now time.Time) State {
	if len(reports) == 0 {
		return s
	}
	return s.withQuarantine(s.quarantine.WithSuspicions(reports, now), "a peer reported it", now)
}

// Suspicions returns the suspected parts that changed recently, or all, for peers.
func (s State) Suspicions(all bool, now time.Time) []quarantine.Suspicion {
	return s.quarantine.Suspicions(all, now)
}

// Quarantined returns the parts of prompts that are kept from targets.
func (s State) Quarantined() []string { return s.quarantine.Quarantined() }

// QuarantineRevision returns a number that is higher after each change of the suspected
// parts.
func (s State) QuarantineRevision() int { return s.quarantine.Revision() }

// withQuarantine returns the state with a new list of suspected parts, and records in
// the trail which ones are now quarantined or no longer are.
func (s State) withQuarantine(after quarantine.List, cause string, now time.Time) State {
	before, quarantined := s.quarantine.Quarantined(), after.Quarantined()
	s.quarantine = after
	for _, part := range quarantined {
		if !slices.Contains(before, part) {
			s.Trail = s.Trail.With(now, "prompt part "+part, cause+"; "+after.Evidence(part, now), "allowed", "quarantined")
		}
	}
	for _, part := range before {
		if !slices.Contains(quarantined, part) {
			s.Trail = s.Trail.With(now, "prompt part "+part, cause+"; "+after.Evidence(part, now), "quarantined", "allowed")
		}
	}
	return s
}

// quarantineRefusal returns the refusal of a request of which a part is quarantined, or
// nil if it may be sent.
func (s State) quarantineRefusal(parts []string, now time.Time) *refusal.Refusal {
	until, blocked := s.quarantine.Blocked(parts, now)
	if !blocked {
		return nil
	}
	return refused(refusal.New(refusal.Quarantined, refusal.No, "requests with the same content, or a part of this prompt, crashed targets; change it or try again later").WithRetry(until.Sub(now)))
}
