package admission

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func TestAllowed(t *testing.T) {
	bounds := Bounds{Limit: 10, ColdLimit: 2, RampUp: 8 * time.Second}
	tests := []struct {
		name string
		ramp Ramp
		at   time.Duration
		want int
	}{
		{"cold", NewRamp(start), 0, 2},
		{"half warm", NewRamp(start), 4 * time.Second, 6},
		{"rounded down", NewRamp(start), 4900 * time.Millisecond, 6},
		{"warm", NewRamp(start), 8 * time.Second, 10},
		{"restarted", NewRamp(start).WithRestart(start.Add(time.Minute)), time.Minute, 2},
		{"clock set back", NewRamp(start), -time.Minute, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.ramp.Allowed(bounds, start.Add(tt.at)); got != tt.want {
				t.Errorf("Allowed = %d, want %d", got, tt.want)
			}
		})
	}
}

func TestSlowThreshold(t *testing.T) {
	tests := []struct {
		name     string
		samples  int
		interval time.Duration
		want     time.Duration
		known    bool
	}{
		{"too few samples", 7, 10 * time.Millisecond, 40 * time.Millisecond, false},
		{"enough samples", 8, 10 * time.Millisecond, 40 * time.Millisecond, true},
		{"minimum", 8, time.Millisecond, 20 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRamp(start)
			for range tt.samples {
				r = r.WithInterval(tt.interval)
			}
			if got, known := r.SlowThreshold(); got != tt.want || known != tt.known {
				t.Errorf("SlowThreshold = %s, %t, want %s, %t", got, known, tt.want, tt.known)
			}
		})
	}
}

// TestSharesKeepRoom checks that an account that sends requests without pause may
// use a target's whole limit while no other account is active, and must leave a
// quarter free otherwise.
func TestSharesKeepRoom(t *testing.T) {
	fill := func(s Shares, now time.Time) (Shares, int) {
		n := 0
		for ; n < 8 && s.WithRequest("large", now).Allows("large", 8, now); n++ {
			s = s.WithRequest("large", now).WithStart("large")
		}
		return s, n
	}
	tests := []struct {
		name        string
		lastRequest time.Duration // when the small account last sent a request; negative for never
		want        int
	}{
		{"no other account", -1, 8},
		{"other account active", 9 * time.Second, 6},
		{"other account idle", 0, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewShares()
			if tt.lastRequest >= 0 {
				s = s.WithRequest("small", start.Add(tt.lastRequest))
			}
			if _, n := fill(s, start.Add(11*time.Second)); n != tt.want {
				t.Errorf("the large account started %d requests, want %d", n, tt.want)
			}
		})
	}
}
