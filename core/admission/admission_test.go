package admission

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

func TestAllowed(t *testing.T) {
	bounds := Bounds{Limit: 10, ColdLimit: 2, RampUp: 8 * time.Second}
	tests := []struct {
		name string
		ramp Ramp
		at   time.Duration
		want int
	}{
		{"cold", NewRamp(epoch), 0, 2},
		{"half warm", NewRamp(epoch), 4 * time.Second, 6},
		{"rounded down", NewRamp(epoch), 4900 * time.Millisecond, 6},
		{"warm", NewRamp(epoch), 8 * time.Second, 10},
		{"restarted", NewRamp(epoch).WithRestart(epoch.Add(time.Minute)), time.Minute, 2},
		{"clock set back", NewRamp(epoch), -time.Minute, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.ramp.Allowed(bounds, epoch.Add(tt.at)); got != tt.want {
				t.Errorf("Allowed = %d, want %d", got, tt.want)
			}
		})
	}
}

func TestSlowAfter(t *testing.T) {
	tests := []struct {
		name  string
		steps int
		step  time.Duration
		want  time.Duration
		known bool
	}{
		{"no baseline", 7, 10 * time.Millisecond, 40 * time.Millisecond, false},
		{"baseline", 8, 10 * time.Millisecond, 40 * time.Millisecond, true},
		{"floor", 8, time.Millisecond, 20 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRamp(epoch)
			for range tt.steps {
				r = r.WithInterval(tt.step)
			}
			if got, known := r.SlowThreshold(); got != tt.want || known != tt.known {
				t.Errorf("SlowAfter = %s, %t, want %s, %t", got, known, tt.want, tt.known)
			}
		})
	}
}

// TestSharesKeepRoom has one account ask without end: it may have all of a
// target while alone, and leaves a quarter once another has asked.
func TestSharesKeepRoom(t *testing.T) {
	fill := func(s Shares, now time.Time) (Shares, int) {
		n := 0
		for ; n < 8 && s.WithRequest("large", now).Allows("large", 8, now); n++ {
			s = s.WithRequest("large", now).WithStart("large")
		}
		return s, n
	}
	tests := []struct {
		name  string
		asked time.Duration // when the small account asked last; negative for never
		want  int
	}{
		{"alone", -1, 8},
		{"beside one that asked", 9 * time.Second, 6},
		{"beside one that asked long ago", 0, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewShares()
			if tt.asked >= 0 {
				s = s.WithRequest("small", epoch.Add(tt.asked))
			}
			if _, n := fill(s, epoch.Add(11*time.Second)); n != tt.want {
				t.Errorf("%d started, want %d", n, tt.want)
			}
		})
	}
}
