package pace_test

import (
	"testing"
	"time"

	"hornbeamtray/core/pace"
)

// TestPace checks what is expected after durations that ended 100 ms apart.
func TestPace(t *testing.T) {
	repeat := func(ms, times int) []int {
		list := make([]int, times)
		for i := range list {
			list[i] = ms
		}
		return list
	}
	tests := []struct {
		name      string
		durations []int // in ms
		age       time.Duration
		known     bool
		min, max  int // bounds of the mean
		usual     int // lower bound of the usual maximum
	}{
		{"nothing measured", nil, 0, false, 0, 0, 0},
		{"the first", []int{200}, 0, true, 200, 200, 600},
		{"the same", repeat(200, 50), 0, true, 200, 200, 200},
		{"slower soon", append(repeat(200, 50), repeat(1000, 10)...), 0, true, 700, 1000, 1000},
		{"faster soon", append(repeat(1000, 50), repeat(200, 20)...), 0, true, 200, 300, 200},
		{"one outlier", append(repeat(200, 50), 2000), 0, true, 200, 450, 1500},
		{"old", repeat(200, 50), 11 * time.Second, false, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now, p := time.Unix(1000, 0), pace.Pace{}
			for _, ms := range tt.durations {
				now = now.Add(100 * time.Millisecond)
				p = p.With(time.Duration(ms)*time.Millisecond, now)
			}
			now = now.Add(tt.age)
			mean, usual := int(p.Mean(now).Milliseconds()), int(p.Usual(now).Milliseconds())
			if p.Known(now) != tt.known || mean < tt.min || mean > tt.max || usual < tt.usual {
				t.Errorf("known: %t, mean %d ms, usually at most %d ms; want %t, %d to %d ms, at least %d ms", p.Known(now), mean, usual, tt.known, tt.min, tt.max, tt.usual)
			}
		})
	}
}
