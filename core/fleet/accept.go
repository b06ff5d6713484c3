package fleet

import (
	"fmt"
	"time"

	"hornbeamtray/core/trail"
)

// Accept returns c if its version is newer than that of current and it has no
// faults, else current. The returned trail records that c was accepted, or that
// it was newer but refused for its faults.
func (c Configuration) Accept(current Configuration, t trail.Trail, faults []Fault, now time.Time) (Configuration, trail.Trail) {
	if c.Version <= current.Version {
		return current, t
	}
	before, after := versionText(current), versionText(c)
	if len(faults) > 0 {
		cause := fmt.Sprintf("refused version %d: %s", c.Version, faults[0])
		if len(faults) > 1 {
			cause += fmt.Sprintf(" (and %d more faults)", len(faults)-1)
		}
		return current, t.With(now, "configuration", cause, before, before)
	}
	return c, t.With(now, "configuration", "published", before, after)
}

func versionText(c Configuration) string {
	return fmt.Sprintf("%d", c.Version)
}
