package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/adapter/clock"
)

func TestNowAdvances(t *testing.T) {
	before := clock.Now()
	time.Sleep(10 * time.Millisecond)
	if passed := clock.Now().Sub(before); passed < 10*time.Millisecond || passed > 5*time.Second {
		t.Errorf("the clock advanced by %s during a sleep of 10 ms", passed)
	}
}

func TestPause(t *testing.T) {
	tests := []struct {
		name      string
		pause     time.Duration
		timeout   time.Duration
		want      time.Duration
		completed bool
	}{
		{"full duration", 50 * time.Millisecond, time.Second, 50 * time.Millisecond, true},
		{"context timeout first", time.Hour, time.Second, time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
				defer cancel()
				start := time.Now()
				if completed := clock.Pause(ctx, tt.pause); completed != tt.completed || time.Since(start) != tt.want {
					t.Errorf("Pause took %s and returned %t", time.Since(start), completed)
				}
			})
		})
	}
}
