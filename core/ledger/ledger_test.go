package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hornbeamtray/core/ticket"
)

var epoch = time.Unix(1_000_000, 0)

func newTicket(n int) ticket.Ticket {
	expiry := epoch.Add(ticket.Lifetime + time.Duration(n)*time.Millisecond)
	return ticket.New(fmt.Sprintf("01234567-89ab-cdef-0123-%012d", n), "bench", "orders", "book", expiry).WithTarget("plain-0-0", "11234567-89ab-cdef-0123-456789abcdef")
}

func newFinished(n int) Ledger {
	l := New(n)
	for i := range n {
		l = l.WithStarted(newTicket(i), 1, 1024).WithFinished(newTicket(i).ID, 100)
	}
	return l
}

func TestSwept(t *testing.T) {
	started := New(10).WithStarted(newTicket(0), 1, 1024)
	tests := []struct {
		name    string
		ledger  Ledger
		at      time.Duration // relative to the first ticket's expiry
		dropped int
		left    int
		held    int64
	}{
		{"before expiry", newFinished(3), -time.Millisecond, 0, 3, 300},
		{"one expired", newFinished(3), 0, 1, 2, 200},
		{"all expired", newFinished(3), time.Second, 3, 0, 0},
		{"still running", started, time.Second, 0, 1, 1024},
		{"voided", New(10).WithVoided(newTicket(0)), time.Second, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			after, dropped := tt.ledger.WithTime(epoch.Add(ticket.Lifetime + tt.at)).Swept()
			if len(dropped) != tt.dropped || after.Len() != tt.left || after.Held() != tt.held {
				t.Errorf("Swept dropped %d IDs and left %d records with %d bytes held, want %d, %d and %d", len(dropped), after.Len(), after.Held(), tt.dropped, tt.left, tt.held)
			}
		})
	}
}

// BenchmarkRequest measures the ledger operations for one request, from its start
// to the removal of its record, in a ledger that has size other records.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{5_000, 50_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			l := newFinished(size)
			l.capacity = size + b.N + 1
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				t := newTicket(size + i)
				l = l.WithStarted(t, 1, 1024)
				l = l.WithFinished(t.ID, 100)
				l = l.WithTime(newTicket(i).Expiry)
				l, _ = l.Swept()
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes per record.
func BenchmarkMemory(b *testing.B) {
	const records = 50_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := newFinished(records)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "B/record")
		runtime.KeepAlive(l)
	}
}
