package wire

import (
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"hornbeamtray/core/entry"
	"hornbeamtray/core/ticket"
)

func TestTicketRoundTrip(t *testing.T) {
	want := ticket.New("id", "bench", "orders", "book", time.UnixMilli(1_800_000_000_000)).WithTarget("t1", "i1")
	got, err := ParseTicket(TicketText(want))
	if err != nil || got != want {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
}

// FuzzParseTicket parses arbitrary texts. Each must either fail with a typed error
// or give a ticket that is the same after it is encoded and parsed again.
func FuzzParseTicket(f *testing.F) {
	f.Add("")
	f.Add("nonsense")
	f.Add("AAAA")
	f.Add(TicketText(ticket.New("id", "bench", "orders", "book", time.UnixMilli(0)).WithTarget("t1", "i1")))
	f.Add(TicketText(ticket.New("", "", "", "", time.UnixMilli(-1)).WithTarget("", "")))
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := ParseTicket(text)
		if err != nil {
			if !trace.IsBadParameter(err) && !trace.IsLimitExceeded(err) {
				t.Errorf("untyped error %v", err)
			}
			return
		}
		again, err := ParseTicket(TicketText(parsed))
		if err != nil || again != parsed {
			t.Errorf("%+v became %+v, %v after encoding and parsing", parsed, again, err)
		}
	})
}

// BenchmarkReport measures the cost of encoding a report, and its length without
// the frame.
func BenchmarkReport(b *testing.B) {
	r := entry.Report{Incarnation: "01234567-89ab-cdef-0123-456789abcdef", Running: 7, Limit: 8, Taking: true, Version: 900_000, Entries: 15}
	b.ReportAllocs()
	length := 0
	for b.Loop() {
		encoded, err := proto.Marshal(FromReport(r))
		if err != nil {
			b.Fatal(err)
		}
		length = len(encoded)
	}
	b.ReportMetric(float64(length), "B/report")
}

// TestTicketOfLongID guards against tickets that callers write themselves, with long IDs of
// which an agent keeps as many in its ledger as it has records.
func TestTicketOfLongID(t *testing.T) {
	tests := []struct {
		bytes int
		valid bool
	}{{0, false}, {36, true}, {64, true}, {65, false}, {600, false}}
	for _, tt := range tests {
		text := TicketText(ticket.New(strings.Repeat("x", tt.bytes), "a", "s", "c", time.UnixMilli(0)).WithTarget("t1", "i1"))
		if parsed, err := ParseTicket(text); (err == nil) != tt.valid {
			t.Errorf("ID of %d bytes: %+v, %v; want it valid: %t", tt.bytes, parsed, err, tt.valid)
		}
	}
}
