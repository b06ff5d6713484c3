package events_test

import (
	"slices"
	"testing"

	"hornbeamtray/core/events"
)

func TestSplitter(t *testing.T) {
	tests := []struct {
		name    string
		parts   []string
		want    []string
		last    string
		partial bool
		events  int
	}{
		{"one complete event", []string{"id: 1\ndata: a\n\n"}, []string{"id: 1\ndata: a\n\n"}, "1", false, 1},
		{"event in several parts", []string{"id: 1\nda", "ta: a\n", "\nid: 2"}, []string{"", "", "id: 1\ndata: a\n\n"}, "1", true, 1},
		{"several at once", []string{"id: 1\n\nid: 2\n\nid: 3\n"}, []string{"id: 1\n\nid: 2\n\n"}, "2", true, 2},
		{"blank line in two parts", []string{"id:7\ndata: x\n", "\n"}, []string{"", "id:7\ndata: x\n\n"}, "7", false, 1},
		{"more blank lines after an event", []string{"id: 1\n\n\n"}, []string{"id: 1\n\n\n"}, "1", false, 1},
		{"more blank lines after an event, in parts", []string{"id: 1\n\n", "\n"}, []string{"id: 1\n\n", ""}, "1", false, 1},
		{"blank lines alone", []string{"\n\n\n\n"}, []string{"\n\n\n\n"}, "", false, 0},
		{"blank lines between events", []string{"id: 1\n\n\n", "\n\nid: 2\n\n"}, []string{"id: 1\n\n\n", "\n\nid: 2\n\n"}, "2", false, 2},
		{"no ID", []string{"data: x\n\n"}, []string{"data: x\n\n"}, "", false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s events.Splitter
			var got []string
			for _, part := range tt.parts {
				got = append(got, string(s.Split([]byte(part))))
			}
			if !slices.Equal(got, tt.want) || s.LastID() != tt.last || s.Partial() != tt.partial || s.Events() != tt.events {
				t.Errorf("events = %q (%d), last ID = %q, partial = %t, want %q (%d), %q, %t", got, s.Events(), s.LastID(), s.Partial(), tt.want, tt.events, tt.last, tt.partial)
			}
		})
	}
}
