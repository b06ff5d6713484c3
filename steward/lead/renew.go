package lead

import (
	"time"

	"hornbeamtray/core/expert"
	"hornbeamtray/core/route"
	"hornbeamtray/core/switching"
)

// plannedSwitch is what a switch in progress was planned for.
type plannedSwitch struct {
	skew      float64   // of the next map under the demand that it was planned for
	checkedAt time.Time // when the measurement ended that it was last compared with
	renewals  int       // switches given up in a row
}

// measures reports whether the demand is measured in this phase. While ranks copy experts, it
// may shift again.
func (l *Lead) measures() bool {
	return l.coordinator.Phase == switching.Idle || l.coordinator.Phase == switching.Preparing
}

// giveUpOutdated gives up a switch for which ranks still copy if the demand has shifted so far
// that another one would follow it at once. Until then all requests of the group would wait
// for the slowest rank, and longest if some ranks carry out their orders late.
func (l *Lead) giveUpOutdated(observed map[int]Observation, shape route.Engine) {
	switch l.coordinator.Phase {
	case switching.Idle:
		return
	case switching.Preparing:
	default:
		l.planned.renewals = 0
		return
	}
	if l.planned.checkedAt.Equal(l.demand.measuredAt) {
		return
	}
	l.planned.checkedAt = l.demand.measuredAt
	skew := l.worstSkew(l.coordinator.Next(), speedsOf(observed, l.coordinator.Size), shape)
	if l.planned.renewals >= maxRenewals || skew <= max(skewTrigger, l.planned.skew*skewTrigger/skewTarget) {
		return
	}
	l.planned.renewals++
	l.meter.Inc("switch", "outdated")
	l.journal.Event("switch given up", "group", l.group, "version", l.coordinator.Version, "skew", skew, "planned", l.planned.skew)
	l.coordinator = l.coordinator.WithoutSwitch()
}

// worstSkew returns the highest ratio of skew to expert.MinSkew of the layer sets of a map
// under the measured demand.
func (l *Lead) worstSkew(m switching.Map, speeds []float64, shape route.Engine) float64 {
	worst := 0.0
	for set, d := range l.demand.demands {
		if set >= len(m) || d.Samples == 0 {
			continue
		}
		layer := expert.FromRanks(m[set], shape.MaxExpertsPerRank, shape.Experts)
		worst = max(worst, layer.Skew(d.Load, speeds)/expert.MinSkew(d.Load, speeds, shape.MaxExpertsPerRank))
	}
	return worst
}
