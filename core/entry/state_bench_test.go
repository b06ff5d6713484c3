package entry

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"hornbeamtray/core/fleet"
)

// newLargeState returns the state of an instance that knows the given numbers of
// targets, all of one service, and of client accounts.
func newLargeState(targets, accounts int) State {
	c := fleet.NewConfiguration().WithVersion(1).WithDomain(fleet.NewDomain("east")).
		WithService(fleet.NewService("quotes", fleet.Model).WithIdempotent("generate"))
	for i := range targets {
		c = c.WithTarget(fleet.NewTarget(fmt.Sprintf("t%d", i), "quotes", "east", fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)))
	}
	for i := range accounts {
		c = c.WithAccount(fleet.NewAccount(fmt.Sprintf("a%d", i), fmt.Sprintf("%064x", i)).WithRate(1e6, 100_000).WithMaxConcurrent(100_000))
	}
	s := New("n", "east").WithConfiguration(c, nil, epoch)
	for i := range targets {
		s = s.WithReport(fmt.Sprintf("t%d", i), Report{Incarnation: "i", Limit: 8, Taking: true, Version: 1, Entries: 15}, epoch)
	}
	return s
}

// BenchmarkRequest measures the work of an instance's control goroutine for one
// request: admission, choice of a target, end of the attempt and release.
func BenchmarkRequest(b *testing.B) {
	for _, targets := range []int{15, 84} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			s := newLargeState(targets, 1500)
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := epoch.Add(time.Duration(i)) // stays within the report timeout
				after, a, refused := s.Admit(fmt.Sprintf("%064x", i%1500), "quotes", "generate", now)
				if refused != nil {
					b.Fatal(refused)
				}
				after, t, refused := after.Choose(a, "id", nil, random, now)
				if refused != nil {
					b.Fatal(refused)
				}
				s = after.WithAttempt(t.Target, false, now).Released(a)
			}
		})
	}
}

// BenchmarkReport measures the processing of one report of an agent.
func BenchmarkReport(b *testing.B) {
	for _, targets := range []int{84, 2600} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			s := newLargeState(targets, 10)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s = s.WithReport(fmt.Sprintf("t%d", i%targets), Report{Incarnation: "i", Running: i % 8, Limit: 8, Taking: true}, epoch.Add(time.Duration(i)))
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes of a state with as many targets and client
// accounts as the system is designed for.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := newLargeState(2600, 1500)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B/state")
		runtime.KeepAlive(s)
	}
}
