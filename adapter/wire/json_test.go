package wire

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"
)

type number struct{ N int }

func TestCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewHandlersServer(listener, Handlers{"/test/Next": func(_ context.Context, read func(any) error) (any, error) {
		var n number
		err := read(&n)
		return number{n.N + 1}, err
	}})
	defer server.Close()
	client := NewClient()
	defer client.Close()
	var answer number
	if err := client.Call(t.Context(), listener.Addr().String(), "/test/Next", number{41}, &answer); err != nil || answer.N != 42 {
		t.Errorf("the answer is %d, %v, want 42", answer.N, err)
	}
	if err := client.Call(t.Context(), listener.Addr().String(), "/test/None", number{}, &answer); err == nil {
		t.Error("a call without a handler succeeded")
	}
}

func TestLongMessagesAreCompressed(t *testing.T) {
	tests := []struct {
		name     string
		count    int
		maxBytes int
	}{
		{"empty list", 0, 20},
		{"short message, not compressed", 5, 100},
		{"counts of one rank of a large group", 2016, 7000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			numbers := make([]int, tt.count)
			for i := range numbers {
				numbers[i] = 1000 + i*i*37%90000
			}
			text, err := jsonEncoding{}.Marshal(numbers)
			if err != nil || len(text) > tt.maxBytes {
				t.Errorf("message has %d bytes, %v, want at most %d", len(text), err, tt.maxBytes)
			}
			var read []int
			if err := (jsonEncoding{}).Unmarshal(text, &read); err != nil || !slices.Equal(read, numbers) {
				t.Errorf("decoded %v, %v, want what was encoded", read, err)
			}
			if len(text) > 200 && (jsonEncoding{}).Unmarshal(text[:200], &read) == nil {
				t.Error("a truncated message was decoded")
			}
		})
	}
}

// A paused peer accepts connections but never responds. A call to it must end with
// its context.
func TestCallToPausedPeerEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	done := make(chan error)
	go func() { done <- client.Call(ctx, listener.Addr().String(), "/test/Next", number{1}, &number{}) }()
	select {
	case err := <-done:
		if err == nil {
			t.Error("a call to a paused peer succeeded")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the call did not return after its context ended")
	}
}
