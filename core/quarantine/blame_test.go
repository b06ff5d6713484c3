package quarantine_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hornbeamtray/core/quarantine"
)

// TestBlame guards against sound requests that are shut out because they share a part with
// requests that crash targets, and against a deadly part that is excused too often. Each
// step is a crash with the parts, or an answer to a request with them.
func TestBlame(t *testing.T) {
	type step struct {
		after    time.Duration // since the step before
		parts    []string
		answered bool
	}
	own := func(n int) string { return quarantine.Own(fmt.Sprint(n)) }
	crash := func(parts ...string) step { return step{2 * time.Second, parts, false} }
	answer := func(parts ...string) step { return step{300 * time.Millisecond, parts, true} }
	tests := []struct {
		name    string
		steps   []step
		blocked []string // requests with one of these parts alone
	}{
		{"a request repeated", []step{answer("first"), crash("first", own(1)), crash("first", own(1))}, []string{own(1)}},
		{"a request repeated, others with its first part answered", []step{answer("first"), crash("first", own(1)), answer("first", own(2)), crash("first", own(1))}, []string{own(1)}},
		{"a part that was proven before", []step{answer("first", "dead"), crash("first", "dead", own(1)), answer("first", own(2)), crash("first", "dead", own(3)), answer("first", own(4))}, []string{"dead"}},
		{"crashes with a popular part that others explain", []step{
			answer("first"), crash("first", own(1)), answer("first", own(2)), crash("first", own(3)), answer("first", own(4)), crash("first", own(5)), answer("first", own(6)),
		}, nil},
		{"an account crashes targets with a part of others and own parts", []step{
			answer("shared"), crash("shared", "evil1", own(1)), answer("shared", own(9)), crash("shared", "evil2", own(2)), answer("shared", own(10)),
		}, nil},
		{"a plain request repeated", []step{crash(own(1)), crash(own(1))}, []string{own(1)}},
		{"plain requests, each at one crash", []step{crash(own(1)), crash(own(2)), crash(own(3))}, nil},
		{"a plain request, answered in between", []step{crash(own(1)), answer(own(1)), crash(own(1))}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, now := quarantine.New("g"), start
			for _, s := range tt.steps {
				now = now.Add(s.after)
				if s.answered {
					l = l.WithProof(s.parts, now)
				} else {
					l = l.WithCrash(s.parts, quarantine.Waiting, now)
				}
			}
			for _, part := range []string{"first", "dead", "shared", own(1), own(2), own(3)} {
				if _, blocked := l.Blocked([]string{part}, now.Add(time.Second)); blocked != slices.Contains(tt.blocked, part) {
					t.Errorf("requests with %q alone are blocked: %t", part, blocked)
				}
			}
		})
	}
}

// TestSharedBlameAfterSecondCrash guards against a new first part of many sound requests
// that is shut out for minutes since it stood beside a deadly part at two crashes: a request
// with the first part alone is tried soon, and one with both parts is not.
func TestSharedBlameAfterSecondCrash(t *testing.T) {
	both := func(n int) []string { return []string{"first", "dead", quarantine.Own(fmt.Sprint(n))} }
	l := quarantine.New("g").WithCrash(both(1), quarantine.Waiting, start).WithCrash(both(2), quarantine.Waiting, start.Add(1500*time.Millisecond))
	last, sound := start.Add(1500*time.Millisecond), []string{"first", quarantine.Own("9")}
	if _, blocked := l.Blocked(sound, last.Add(time.Second)); !blocked {
		t.Error("a request with a suspected part is sent at once")
	}
	due := last.Add(7500 * time.Millisecond)
	if until, blocked := l.Blocked(sound, due); blocked {
		t.Fatalf("a request with the first part alone waits until %s after the last crash, want 7.5 s at most", until.Sub(last))
	}
	if until, blocked := l.Blocked(both(3), due); !blocked || until.Sub(last) < 100*time.Second {
		t.Errorf("a request with both parts is sent %s after the last crash", until.Sub(last))
	}
	l = l.WithSend(sound, due)
	if _, blocked := l.Blocked([]string{"first", quarantine.Own("10")}, due); !blocked {
		t.Error("a second request is sent beside the trial")
	}
	l = l.WithProof(sound, due.Add(100*time.Millisecond))
	if _, blocked := l.Blocked([]string{"first", quarantine.Own("10")}, due.Add(200*time.Millisecond)); blocked {
		t.Error("the first part is blocked after the trial was answered")
	}
	if got := l.Quarantined(); !slices.Equal(got, []string{"dead"}) {
		t.Errorf("quarantined parts are %q after the trial, want the deadly one", got)
	}
}

// TestMergesOfReports checks that what gateways know of crashes and proofs does not depend
// on the order in which reports arrive, or on how often.
func TestMergesOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := make([]quarantine.List, 3)
		now := start
		for i := range lists {
			lists[i] = quarantine.New(string(rune('a' + i)))
		}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(10, 5000).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(t, "gateway")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				lists[i] = lists[i].WithCrash([]string{"p", "q", quarantine.Own("x")}, quarantine.Progress(rapid.IntRange(0, 1).Draw(t, "progress")), now)
			case 1:
				lists[i] = lists[i].WithProof([]string{"p", quarantine.Own("x")}, now)
			case 2:
				lists[i] = lists[i].WithSuspicions(lists[rapid.IntRange(0, 2).Draw(t, "peer")].Suspicions(true, now), now)
			}
		}
		var reports [][]quarantine.Suspicion
		for _, l := range lists {
			reports = append(reports, l.Suspicions(true, now))
		}
		merge := func(order []int) []quarantine.Suspicion {
			l := quarantine.New("z")
			for _, i := range order {
				l = l.WithSuspicions(reports[i], now)
			}
			return l.Suspicions(true, now)
		}
		want := fmt.Sprint(merge([]int{0, 1, 2}))
		for _, order := range [][]int{{0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}, {0, 0, 1, 1, 2, 2}, {2, 1, 0, 1, 2}} {
			if got := fmt.Sprint(merge(order)); got != want {
				t.Fatalf("in the order %v the reports amount to %s, want %s", order, got, want)
			}
		}
	})
}

// BenchmarkRequest measures what quarantine adds to a request on a gateway with many proofs
// and some suspicions.
func BenchmarkRequest(b *testing.B) {
	l, now := quarantine.New("g"), start
	for n := range 16384 {
		l = l.WithProof([]string{fmt.Sprint("part", n)}, now)
	}
	for n := range 100 {
		l = l.WithCrash([]string{fmt.Sprint("dead", n), quarantine.Own(fmt.Sprint(n))}, quarantine.Begun, now)
	}
	parts := []string{"part16000", "part16001", quarantine.Own("x")}
	b.ReportAllocs()
	for b.Loop() {
		l.Blocked(parts, now)
		l.Proven(parts, now)
	}
}

// TestManyParts checks that what is remembered of parts stays below a hundredth of the
// memory of the smallest gateway, however many different ones are proven and crash targets.
func TestManyParts(t *testing.T) {
	const parts, maxBytes = 200_000, 184_000_000 / 100
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := heap()
	list, now := quarantine.New("g"), start
	for n := range parts {
		part := fmt.Sprintf("%012x", n)
		now = now.Add(time.Millisecond)
		if n%1000 == 0 {
			list = list.WithCrash([]string{part, quarantine.Own(part)}, quarantine.Begun, now)
			continue
		}
		list = list.WithProof([]string{part}, now)
	}
	used := heap() - before
	t.Logf("%d kB, %d suspicions", used>>10, len(list.Suspicions(true, now)))
	if used > maxBytes {
		t.Errorf("%d bytes are kept, want at most %d", used, maxBytes)
	}
	runtime.KeepAlive(list)
}
