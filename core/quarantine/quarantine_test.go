package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamtray/core/quarantine"
)

var start = time.Unix(1_000_000, 0)

// crash is a crash of a target while it had a request.
type crash struct {
	after    time.Duration // since the start
	parts    []string
	progress quarantine.Progress
}

// TestQuarantine checks which parts are quarantined after crashes, and which requests
// that affects a second after the last crash.
func TestQuarantine(t *testing.T) {
	request := []string{"first", "dead"}
	tests := []struct {
		name    string
		proven  []string
		crashes []crash
		want    []string
	}{
		{"as the answer began", []string{"first"}, []crash{{0, request, quarantine.Begun}}, []string{"dead"}},
		{"nothing of the answer", []string{"first"}, []crash{{0, request, quarantine.Waiting}}, nil},
		{"nothing of the answer, twice", []string{"first"}, []crash{{0, request, quarantine.Waiting}, {2 * time.Second, request, quarantine.Waiting}}, []string{"dead"}},
		{"nothing of the answer, two requests at one crash", []string{"first"}, []crash{{0, request, quarantine.Waiting}, {10 * time.Millisecond, request, quarantine.Waiting}}, nil},
		{"nothing of the answer, twice with a long time between", []string{"first"}, []crash{{0, request, quarantine.Waiting}, {time.Hour, request, quarantine.Waiting}}, nil},
		{"after the first event", []string{"first"}, []crash{{0, request, quarantine.Started}}, nil},
		{"far into the answer", []string{"first"}, []crash{{0, request, quarantine.UnderWay}, {2 * time.Second, request, quarantine.UnderWay}}, nil},
		{"nothing proven", nil, []crash{{0, request, quarantine.Begun}}, []string{"dead", "first"}},
		{"all proven", request, []crash{{0, request, quarantine.Begun}}, nil},
		{"all proven, twice", request, []crash{{0, request, quarantine.Begun}, {2 * time.Second, request, quarantine.Begun}}, []string{"dead", "first"}},
		{"all proven, two requests at one crash", request, []crash{{0, request, quarantine.Begun}, {10 * time.Millisecond, request, quarantine.Begun}}, nil},
		{"what the request holds alone", request, []crash{{0, []string{"first", quarantine.Own("x")}, quarantine.Begun}}, []string{"=x"}},
		{"what the request holds alone, nothing of the answer", request, []crash{{0, []string{"first", quarantine.Own("x")}, quarantine.Waiting}}, nil},
		{"no shared parts", nil, []crash{{0, nil, quarantine.Begun}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := quarantine.New("g").WithProof(tt.proven, start)
			now := start
			for _, c := range tt.crashes {
				now = start.Add(c.after)
				l = l.WithCrash(c.parts, c.progress, now)
			}
			if got := l.Quarantined(); !slices.Equal(got, tt.want) {
				t.Fatalf("quarantined parts are %q, want %q", got, tt.want)
			}
			now = now.Add(time.Second)
			for _, part := range []string{"first", "dead", "other"} {
				if _, blocked := l.Blocked([]string{part}, now); blocked != slices.Contains(tt.want, part) {
					t.Errorf("request with part %q blocked: %t, want %t", part, blocked, !blocked)
				}
			}
		})
	}
}

// TestTrial checks that after each crash one request is sent as a trial, later each
// time, and that its answer ends the quarantine.
func TestTrial(t *testing.T) {
	parts, l, now := []string{"dead"}, quarantine.New("g"), start
	previous := time.Duration(0)
	for n := range 4 {
		l = l.WithCrash(parts, quarantine.Begun, now)
		until, blocked := l.Blocked(parts, now)
		if period := until.Sub(now); !blocked || period < 2*previous || period < 30*time.Second {
			t.Fatalf("after crash %d blocked: %t for %s, want at least twice the %s before", n+1, blocked, period, previous)
		}
		previous, now = until.Sub(now), until
		if _, blocked := l.Blocked([]string{"dead", "dead"}, now); !blocked {
			t.Errorf("a request with several quarantined parts is the first trial")
		}
		if _, blocked := l.Blocked(parts, now); blocked {
			t.Fatalf("no trial is due at the end of the quarantine")
		}
		l = l.WithSend(parts, now)
		if _, blocked := l.Blocked(parts, now.Add(time.Second)); !blocked {
			t.Errorf("a second request is sent beside the trial")
		}
		now = now.Add(200 * time.Millisecond)
	}
	l = l.WithProof(parts, now)
	if _, blocked := l.Blocked(parts, now); blocked || len(l.Quarantined()) > 0 {
		t.Errorf("the part is quarantined after an answer")
	}
}

// TestSharedBlame guards against sound requests that are kept from targets for long,
// since their first part stood beside one that crashes targets when nothing was proven
// yet: a request with one of the two is tried soon, and a proof of one leaves the blame
// with the other.
func TestSharedBlame(t *testing.T) {
	both := []string{"first", "dead"}
	suspected := quarantine.New("g").WithCrash(both, quarantine.Begun, start)
	peer := quarantine.New("h").WithSuspicions(suspected.Suspicions(true, start), start)
	proven := suspected.WithSend(both[:1], start.Add(8*time.Second)).WithProof(both[:1], start.Add(9*time.Second))
	tests := []struct {
		name    string
		list    quarantine.List
		parts   []string
		after   time.Duration
		blocked bool
	}{
		{"the first part alone, at once", suspected, both[:1], time.Second, true},
		{"the first part alone, soon", suspected, both[:1], 8 * time.Second, false},
		{"the first part alone, soon, at a peer", peer, both[:1], 8 * time.Second, false},
		{"both parts, soon", suspected, both, 8 * time.Second, true},
		{"both parts, later", suspected, both, 20 * time.Second, false},
		{"the first part, once proven", proven, both[:1], 9 * time.Second, false},
		{"both parts, the first one proven", proven, both, 25 * time.Second, true},
		{"both parts, the first one proven, at a peer", peer.WithSuspicions(proven.Suspicions(true, start.Add(9*time.Second)), start.Add(9*time.Second)), both, 25 * time.Second, true},
		{"a second crash with one part", suspected.WithCrash(both[1:], quarantine.Begun, start.Add(8*time.Second)), both[1:], 60 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if until, blocked := tt.list.Blocked(tt.parts, start.Add(tt.after)); blocked != tt.blocked {
				t.Errorf("blocked: %t until %s, want %t", blocked, until.Sub(start), tt.blocked)
			}
		})
	}
}

// TestRepeatedReports checks that gateways that repeat to each other what they know, each
// time a little later, don't prolong a quarantine, and that a proof reaches all of them.
func TestRepeatedReports(t *testing.T) {
	parts := []string{"dead"}
	a, b := quarantine.New("a").WithCrash(parts, quarantine.Begun, start), quarantine.New("b")
	until, _ := a.Blocked(parts, start)
	delayed := func(list []quarantine.Suspicion) []quarantine.Suspicion {
		for i := range list {
			list[i].Crashes = slices.Clone(list[i].Crashes)
			for n := range list[i].Crashes {
				list[i].Crashes[n].At = list[i].Crashes[n].At.Add(5 * time.Millisecond)
			}
		}
		return list
	}
	now := start
	for range 1000 {
		now = now.Add(5 * time.Millisecond)
		b = b.WithSuspicions(delayed(a.Suspicions(true, now)), now)
		a = a.WithSuspicions(delayed(b.Suspicions(true, now)), now)
	}
	if got, blocked := a.Blocked(parts, now); !blocked || got.Sub(until) > time.Second {
		t.Errorf("after 1000 reports blocked: %t until %s later than at first, want at most 1 s", blocked, got.Sub(until))
	}
	if s := a.Suspicions(true, now); len(s) != 1 || len(s[0].Crashes) != 1 {
		t.Errorf("suspicions are %+v, want one crash", s)
	}
	b = b.WithProof(parts, now)
	a = a.WithSuspicions(b.Suspicions(false, now), now)
	if !a.Proven(parts, now) || len(a.Quarantined()) > 0 {
		t.Errorf("a proof at one gateway does not end the quarantine at another")
	}
	a = a.WithSuspicions(quarantine.New("c").WithCrash(parts, quarantine.Begun, now).Suspicions(true, now), now)
	if len(a.Quarantined()) > 0 || len(a.Suspicions(false, now)) == 0 {
		t.Errorf("a peer's suspicion of a proven part is believed, or not contradicted")
	}
}

// TestRestartedPeer checks that each report tells of quarantined parts, however old, so
// that a gateway that restarted learns of them with the first one, and not of all that
// callers made suspect.
func TestRestartedPeer(t *testing.T) {
	l := quarantine.New("g").WithCrash([]string{"dead"}, quarantine.Begun, start).WithCrash([]string{"waiting"}, quarantine.Waiting, start)
	list := l.Suspicions(false, start.Add(20*time.Second))
	if len(list) != 1 || list[0].Part != "dead" {
		t.Errorf("suspicions told after 20 s are %+v, want the quarantined part", list)
	}
	for n := range 200 {
		l = l.WithCrash([]string{string(rune(n + 1000))}, quarantine.Begun, start)
	}
	if got := len(l.Suspicions(false, start.Add(20*time.Second))); got != 16 {
		t.Errorf("%d suspicions are told after 20 s, want 16", got)
	}
}

// TestBoundedMemory checks that parts that callers invent do not fill the memory.
func TestBoundedMemory(t *testing.T) {
	l, now := quarantine.New("g"), start
	name := func(n int) []string { return []string{string(rune(n + 1000))} }
	for n := range 20000 {
		now = now.Add(time.Millisecond)
		l = l.WithCrash(name(n), quarantine.Begun, now)
	}
	if got := len(l.Suspicions(true, now)); got > 256 {
		t.Errorf("%d suspicions are kept, want at most 256", got)
	}
	for n := range 40000 {
		l = l.WithProof(name(n), now)
	}
	if l.Proven(name(0), now) || !l.Proven(name(39999), now) {
		t.Errorf("the oldest part proven: %t, the newest: %t, want only the newest", l.Proven(name(0), now), l.Proven(name(39999), now))
	}
}

// TestHistories plays random histories of several gateways that exchange reports late
// and twice. One part crashes every target that begins to answer it. However the reports
// run, a sound part of the same requests is blocked only between crashes of which it is
// not proven innocent, and never for long after the last one, and after the fifth
// crash at most three more requests with the deadly part are sent within an hour.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := make([]quarantine.List, rapid.IntRange(1, 5).Draw(t, "gateways"))
		for i := range gateways {
			gateways[i] = quarantine.New(string(rune('a' + i)))
		}
		now, crashes, after := start, 0, 0
		innocent := map[int]bool{} // whether the gateway proved the sound part since its last crash there or anywhere
		lastCrash := start
		var late [][]quarantine.Suspicion
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 15000).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, len(gateways)-1).Draw(t, "gateway")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0: // a request that crashes its target, and the report of it
				parts := []string{"first", "dead"}
				if _, blocked := gateways[i].Blocked(parts, now); blocked {
					continue
				}
				crashes++
				if crashes > 5 {
					after++
				}
				gateways[i] = gateways[i].WithSend(parts, now).WithCrash(parts, quarantine.Begun, now)
				clear(innocent)
				lastCrash = now
				for n := range gateways {
					gateways[n] = gateways[n].WithSuspicions(gateways[i].Suspicions(false, now), now)
				}
			case 1: // a sound request with the same first part
				if until, blocked := gateways[i].Blocked([]string{"first"}, now); blocked {
					if innocent[i] {
						t.Fatalf("gateway %d blocks a part that it proved since the last crash", i)
					}
					if until.Sub(lastCrash) > 20*time.Second && until.Sub(now) > 10*time.Second {
						t.Fatalf("gateway %d blocks a sound part until %s after the last crash", i, until.Sub(lastCrash))
					}
					continue
				}
				gateways[i] = gateways[i].WithSend([]string{"first"}, now).WithProof([]string{"first"}, now)
				innocent[i] = true
			case 2:
				late = append(late, gateways[i].Suspicions(true, now))
			case 3:
				if len(late) > 0 {
					gateways[i] = gateways[i].WithSuspicions(late[rapid.IntRange(0, len(late)-1).Draw(t, "report")], now)
				}
			}
		}
		if after > 3 {
			t.Fatalf("%d requests with the part were sent after the fifth crash, want at most 3", after)
		}
	})
}
