package switching

import (
	"testing"
	"time"
)

// TestAhead guards against a held pass that is due before the ranks are armed, and against
// switches that take effect later than needed.
func TestAhead(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	tests := []struct {
		name    string
		passes  []time.Duration // time of each of the passes between two observations, 300 ms apart; 0 if none began
		armings []time.Duration
		later   time.Duration // from the last observation to the question
		want    uint64
	}{
		{"nothing known", nil, nil, 0, defaultAhead},
		{"no pass begins", []time.Duration{0, 0}, []time.Duration{90 * ms}, 0, defaultAhead},
		{"no pass begins any more", []time.Duration{30 * ms, 0}, []time.Duration{90 * ms}, 0, defaultAhead},
		{"arming unknown, long passes", []time.Duration{150 * ms, 150 * ms}, nil, 0, 1},
		{"arming unknown, short passes", []time.Duration{60 * ms, 60 * ms}, nil, 0, 2},
		{"arming much shorter than a pass", []time.Duration{75 * ms, 75 * ms}, []time.Duration{40 * ms, 40 * ms}, 0, 1},
		{"arming a little shorter than a pass", []time.Duration{75 * ms, 75 * ms}, []time.Duration{65 * ms, 65 * ms}, 0, 2},
		{"arming longer than a pass", []time.Duration{75 * ms, 75 * ms}, []time.Duration{100 * ms, 100 * ms}, 0, 2},
		{"arming as long as two passes", []time.Duration{75 * ms, 75 * ms}, []time.Duration{150 * ms, 150 * ms}, 0, 3},
		{"passes that the old map has made long", []time.Duration{75 * ms, 75 * ms, 150 * ms}, []time.Duration{90 * ms, 90 * ms}, 0, 1},
		{"very slow arming", []time.Duration{30 * ms, 30 * ms}, []time.Duration{390 * ms}, 0, maxAhead},
		{"what was known is old", []time.Duration{30 * ms, 30 * ms}, []time.Duration{390 * ms}, 11 * time.Second, defaultAhead},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now, step, timing := start, uint64(50), Timing{}
			timing = timing.WithStep(step, now)
			for _, pass := range tt.passes {
				now = now.Add(300 * ms)
				if pass > 0 {
					step += uint64(300 * ms / pass)
				}
				timing = timing.WithStep(step, now)
			}
			for _, took := range tt.armings {
				timing = timing.WithArming(took, now)
			}
			if got := timing.Ahead(now.Add(tt.later)); got != tt.want {
				t.Errorf("Ahead() = %d, want %d", got, tt.want)
			}
		})
	}
}

// TestStepsOfNewEpoch guards against a time of passes that is computed over a restart of the group,
// whose passes are counted from the beginning again.
func TestStepsOfNewEpoch(t *testing.T) {
	start := time.Unix(1000, 0)
	timing := Timing{}.WithStep(1000, start).WithStep(3, start.Add(time.Second)).WithStep(7, start.Add(1400*time.Millisecond))
	if got := timing.pass; got != 100*time.Millisecond {
		t.Errorf("passes take %v, want 100ms", got)
	}
}
