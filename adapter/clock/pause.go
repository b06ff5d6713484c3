package clock

import (
	"context"
	"time"
)

// Pause waits until d has passed or ctx is done, and reports whether all of d passed.
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
