package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamtray/adapter/clock"
)

func TestNowGoesOn(t *testing.T) {
	before := clock.Now()
	time.Sleep(10 * time.Millisecond)
	if passed := clock.Now().Sub(before); passed < 10*time.Millisecond || passed > 5*time.Second {
		t.Errorf("%s passed in 10 ms", passed)
	}
}

func TestPause(t *testing.T) {
	tests := []struct {
		name   string
		pause  time.Duration
		bound  time.Duration
		took   time.Duration
		lasted bool
	}{
		{"to its end", 50 * time.Millisecond, time.Second, 50 * time.Millisecond, true},
		{"to the end of the context", time.Hour, time.Second, time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tt.bound)
				defer cancel()
				start := time.Now()
				if lasted := clock.Pause(ctx, tt.pause); lasted != tt.lasted || time.Since(start) != tt.took {
					t.Errorf("paused for %s, to its end %t", time.Since(start), lasted)
				}
			})
		})
	}
}
