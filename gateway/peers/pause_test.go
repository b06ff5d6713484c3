package peers_test

import (
	"slices"
	"testing"
	"time"

	"hornbeamtray/core/dispatch"
)

// TestNoLateRequestAfterPause guards against requests that run with a key that was taken away
// more than revoke_ms before they were sent, since a gateway was paused: at any time that it
// reads, between a read of the store or a peer's report and its use, or with its control
// goroutine blocked. A row stops the whole process, or one goroutine alone, as a slow machine does.
func TestNoLateRequestAfterPause(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	const longer, shorter = revokeTime + 10*time.Millisecond, revokeTime - 10*time.Millisecond
	tests := []pauseCase{
		{name: "the process stops for a little longer than revoke_ms", whole: true, length: longer},
		{name: "the process stops for a little less", whole: true, length: shorter},
		{name: "the process stops for an hour", whole: true, length: time.Hour},
		{name: "the process stops after the revocation", whole: true, length: longer, after: true},
		{name: "one goroutine stops", length: longer},
		{name: "one goroutine stops after the revocation", length: longer, after: true},
		{name: "the process stops, and learns from its peer", whole: true, length: longer, blind: true},
		{name: "one goroutine stops, and the gateway learns from its peer", length: longer, blind: true},
		{name: "the peer stops", whole: true, length: longer, blind: true, peer: true},
		{name: "one goroutine of the peer stops", length: longer, blind: true, peer: true},
	}
	ownPoints, _ := pausePoints(t, false)
	blindPoints, peerPoints := pausePoints(t, true)
	for _, tt := range tests {
		points := ownPoints
		switch {
		case tt.peer:
			points = peerPoints
		case tt.blind:
			points = blindPoints
		}
		for _, point := range append(slices.Clone(points), controlBlocked) {
			t.Run(tt.name+"/"+point, func(t *testing.T) {
				t.Parallel()
				tt.check(t, point)
			})
		}
	}
}

// pauseCase is a pause of a gateway or of its peer.
type pauseCase struct {
	name   string
	whole  bool // all goroutines of the process stop
	length time.Duration
	after  bool // it begins after the revocation was acknowledged, not just before
	blind  bool // the gateway can't read the store, and learns from its peer
	peer   bool // the pause is that of the peer
}

// controlBlocked is the point at which an event blocks the control goroutine.
const controlBlocked = "control, blocked by an event"

// pausePoints returns the points that a gateway passes while it serves requests and takes a
// new configuration, and those that a peer passes which relays it.
func pausePoints(t *testing.T, blind bool) (own, peer []string) {
	t.Helper()
	w := newWorld()
	one, two := startPair(t, w)
	two.blind.Store(blind)
	one.passed()
	two.passed()
	stop := w.traffic(two)
	for range 4 {
		w.store.put(bothKeys)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Second) // a watch without changes
	stop()
	own, peer = two.passed(), one.passed()
	for _, point := range []string{
		"store watched, begin", "store watched, end", "decode, begin", "decode, end", "control, after an event", "request sent, begin",
	} {
		if !slices.Contains(own, point) {
			t.Fatalf("%q is not among the points that the gateway passed: %q", point, own)
		}
	}
	return own, peer
}

// startPair starts two gateways, and waits until both have read the configuration from the store.
func startPair(t *testing.T, w *world) (one, two *process) {
	t.Helper()
	one = startProcess(t, w, "one", "")
	two = startProcess(t, w, "two", one.address)
	for _, p := range []*process{one, two} {
		eventually(t, "the gateway has read the configuration", func() bool {
			return p.service.State().Fresh(w.now()) && p.service.State().Book.Version > 0 && !p.inbox.Mirror().StoreAccess().LastRead.IsZero()
		})
	}
	return one, two
}

// traffic sends requests with both keys to a gateway until the returned function is called,
// which waits until all have ended.
func (w *world) traffic(p *process) (stop func()) {
	done := make(chan struct{})
	w.sending.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
				w.send(p, revokedKey)
				w.send(p, keptKey)
			}
		}
	})
	return func() {
		close(done)
		w.sending.Wait()
	}
}

// check makes the pause at a point, and checks which requests ran at the gateway.
func (c pauseCase) check(t *testing.T, point string) {
	w := newWorld()
	one, two := startPair(t, w)
	two.blind.Store(c.blind)
	defer w.traffic(two)()
	time.Sleep(50 * time.Millisecond)
	stopped := two
	if c.peer {
		stopped = one
	}
	paused := make(chan struct{})
	pause := func() {
		defer close(paused)
		if c.whole {
			defer stopped.freeze()()
		}
		if !c.after {
			w.revoke()
		}
		w.passed.Add(int64(c.length))
		for !c.peer && (one.service.State().Book.Version < w.store.latest() || !one.service.State().Fresh(w.now())) {
			batch, _ := w.store.List(t.Context())
			one.inbox.Apply(batch) // the peer was not paused: it has a recent proof
			time.Sleep(time.Millisecond)
		}
		for range 10 {
			w.send(two, revokedKey)
		}
		time.Sleep(30 * time.Millisecond) // requests, reports and answers of the store arrive
	}
	when := func() bool { return !c.after || w.revoked() }
	if point == controlBlocked {
		stopped.service.Change(func(s dispatch.State, _ time.Time) dispatch.State {
			if c.after {
				w.revoke()
			}
			pause()
			return s
		})
	} else {
		stopped.arm(point, when, pause)
		if c.after {
			w.revoke()
		}
	}
	c.awaitPause(t, w, two, paused)
	eventually(t, "the gateway accepts the other key after the pause", func() bool {
		late, kept := w.lateRuns()
		return kept > 0 || len(late) > 0
	})
	time.Sleep(30 * time.Millisecond)
	if late, _ := w.lateRuns(); len(late) > 0 {
		t.Errorf("%d requests ran with the key, the first %s", len(late), late[0])
	}
}

// awaitPause waits until the pause is over. Some points are passed only when the configuration
// changes, and which of them depends on whether the store or the peer is faster. After some
// changes the gateway therefore loses sight of the store, and regains it, in turn.
func (c pauseCase) awaitPause(t *testing.T, w *world, two *process, paused <-chan struct{}) {
	t.Helper()
	defer two.blind.Store(c.blind)
	for n := range 120 {
		select {
		case <-paused:
			return
		case <-time.After(250 * time.Millisecond):
			w.store.put(bothKeys)
			two.blind.Store(c.blind != (n >= 4 && n/4%2 == 1))
		}
	}
	t.Fatal("the point of the pause was not passed")
}
