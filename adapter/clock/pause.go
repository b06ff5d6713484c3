package clock

import (
	"context"
	"time"
)

// Pause waits for d, and reports whether ctx did not end before.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
