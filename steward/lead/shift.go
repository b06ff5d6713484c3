package lead

import (
	"context"
	"time"

	"hornbeamtray/adapter/clock"
	"hornbeamtray/core/route"
	"hornbeamtray/core/switching"
)

const (
	watchInterval = measureInterval / 4   // between reads of the own rank's counts while no switch is in progress
	minWatchGap   = 50 * time.Millisecond // between reads that are judged: in less time, the rank runs one pass or none
	countGap      = 25 * time.Millisecond // between reads while there are too few counts after a shift
)

// pause waits until the next round is due. Meanwhile the leader reads the counts of its
// own rank, which costs no message to another instance. If the demand has shifted, or
// there are enough counts after a shift, the next round is due at once.
func (l *Lead) pause(ctx context.Context) {
	end := l.clock().Add(l.interval())
	for gap := l.readGap(); gap > 0 && end.Sub(l.clock()) > gap; gap = l.readGap() {
		if !clock.Pause(ctx, gap) {
			return
		}
		if l.readOwn(ctx); l.demand.shifted && l.demand.due(l.clock()) {
			return
		}
	}
	clock.Pause(ctx, end.Sub(l.clock()))
}

// readGap returns the time until the own rank's counts are to be read between two
// rounds, or 0 if they are not.
func (l *Lead) readGap() time.Duration {
	switch {
	case !l.leading || !l.measures():
	case !l.demand.baselineAt.IsZero():
		return max(countGap, l.demand.readAt.Sub(l.clock()))
	case !l.demand.shifted && l.coordinator.Phase == switching.Idle:
		return watchInterval
	}
	return 0
}

// observe observes the ranks, and measures the demand when that is due.
func (l *Lead) observe(ctx context.Context, own Observation, shape route.Engine) map[int]Observation {
	l.watch(own.Counts, shape)
	counts, shifted := l.measures() && l.demand.due(l.clock()), l.demand.shifted
	observed := l.ranks.ObserveAll(ctx, own.Group, own, counts)
	if counts && !shifted && l.clock().Sub(l.demand.watched.at) >= minWatchGap {
		// The ranks were slow to answer. If the demand has shifted meanwhile, their
		// counts must neither end a measurement nor be a baseline.
		l.readOwn(ctx)
		counts = !l.demand.shifted
	}
	l.demand.add(observed, shape, counts, l.clock())
	return observed
}

// readOwn reads the own rank's counts and watches them.
func (l *Lead) readOwn(ctx context.Context) {
	shape, known := l.shapes.Shape()
	if !known {
		return
	}
	if counts, err := l.ranks.OwnCounts(ctx); err == nil {
		l.watch(counts, shape)
	}
}

// watch logs and counts a shift that the own rank's counts show.
func (l *Lead) watch(counts []uint64, shape route.Engine) {
	found, shifted := l.demand.watch(counts, shape, l.clock())
	if !shifted {
		return
	}
	l.meter.Inc("shift", "noticed")
	l.journal.Event("shift noticed", "group", l.group, "distance", found.Distance, "noise", found.Noise, "counts", found.Counts,
		"phase", l.coordinator.Phase)
}
