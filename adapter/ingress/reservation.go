package ingress

const reservationStep = 4 << 10 // bytes; keeps small growth from taking the guard's lock

// reservation is memory that one request holds of the pool. It is used by one goroutine
// at a time.
type reservation struct {
	guard *Guard
	owner string
	free  int64 // bytes that are not taken from the pool
	need  int64
	held  int64
}

// resize changes the reservation to need bytes. It reports false, and changes nothing, if the
// pool has no room.
func (r *reservation) resize(need int64) bool {
	held := (max(0, need-r.free) + reservationStep - 1) / reservationStep * reservationStep
	if held != r.held {
		g := r.guard
		g.mu.Lock()
		defer g.mu.Unlock()
		if held > r.held {
			pool, reserved := g.pool.Reserve(r.owner, held-r.held)
			if !reserved {
				return false
			}
			g.pool = pool
		} else {
			g.pool = g.pool.Release(r.owner, r.held-held)
		}
	}
	r.need, r.held = need, held
	return true
}

// release gives all memory back.
func (r *reservation) release() { r.resize(0) }
