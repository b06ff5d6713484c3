package eject_test

import (
	"testing"
	"time"

	"hornbeamtray/core/eject"
)

func TestRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name     string
		attempts string // f for failure, s for success
		due      bool
	}{
		{"two failures", "ff", false},
		{"three failures", "fff", true},
		{"success in between", "ffsff", false},
		{"success last", "ffffs", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r eject.Record
			due := false
			for _, a := range tt.attempts {
				r, due = r.WithResult(a == 'f', now)
			}
			if due != tt.due {
				t.Errorf("WithResult reports due = %t, want %t", due, tt.due)
			}
		})
	}
	r := eject.Record{Failures: 3}.WithEjection(now)
	if !r.Ejected(now.Add(900*time.Millisecond)) || r.Ejected(now.Add(time.Second)) {
		t.Error("the first ejection does not last exactly one second")
	}
	if _, due := r.WithResult(true, now); due {
		t.Error("a failure during an ejection makes the target due for another one")
	}
}
