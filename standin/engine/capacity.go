package engine

import "time"

// coldSlowdown is the ratio of the delay before each token on a fully cold target to
// that on a warm one.
const coldSlowdown = 5

// Capacity is the number of concurrent requests that a target can run without
// failing. It rises linearly from ColdLimit to Limit during the ramp-up.
type Capacity struct {
	Limit     int           // Limit applies when the target is warm; 0 means no limit.
	ColdLimit int           // ColdLimit applies right after a cold start; 0 means that the target is always warm.
	RampUp    time.Duration // RampUp is the time from the cold start until the target is warm.
}

// after returns the limit and the warmth, from 0 (cold) to 1 (warm), when elapsed
// has passed since the cold start.
func (c Capacity) after(elapsed time.Duration) (int, float64) {
	if c.ColdLimit == 0 || elapsed >= c.RampUp {
		return c.Limit, 1
	}
	warmth := float64(elapsed) / float64(c.RampUp)
	return c.ColdLimit + int(float64(c.Limit-c.ColdLimit)*warmth), warmth
}

// slowedDelay returns the delay before each token at the given warmth, where delay is
// the one on a warm target.
func slowedDelay(delay time.Duration, warmth float64) time.Duration {
	return time.Duration(float64(delay) * (1 + (coldSlowdown-1)*(1-warmth)))
}
