package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"hornbeamtray/core/quarantine"
)

// TestProvenPartThatCrashesLater guards against a proof that outweighs all later crashes: a
// part that was proven and then crashes two targets, while other parts are proven in
// between, is quarantined, and a peer's older proof does not end that.
func TestProvenPartThatCrashesLater(t *testing.T) {
	request := []string{"first", "dead"}
	before := quarantine.New("g").WithProof(request, start)
	l := before
	for n := range 2 {
		crashed := start.Add(time.Duration(30+5*n) * time.Second)
		l = l.WithCrash(request, quarantine.Begun, crashed)
		l = l.WithProof([]string{"first", "sound"}, crashed.Add(3*time.Second))
	}
	now := start.Add(40 * time.Second)
	if got := l.Quarantined(); !slices.Equal(got, []string{"dead"}) {
		t.Errorf("quarantined parts are %q, want the one that crashed targets since its proof", got)
	}
	peer := quarantine.New("h").WithCrash(request, quarantine.Begun, now.Add(-10*time.Second)).WithCrash(request, quarantine.Begun, now)
	peer = peer.WithProof([]string{"first"}, now)
	l = before.WithSuspicions(peer.Suspicions(true, now), now)
	if got := l.Quarantined(); !slices.Equal(got, []string{"dead"}) {
		t.Errorf("quarantined parts are %q after a peer's report, want the one that crashed targets since its proof here", got)
	}
}
