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
		t.Error("a call that does not exist was answered")
	}
}

func TestLongMessagesArePacked(t *testing.T) {
	tests := []struct {
		name  string
		count int
		most  int // bytes
	}{
		{"nothing", 0, 20},
		{"a short message stays as it is", 5, 100},
		{"the counts of a large group's rank", 2016, 7000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			numbers := make([]int, tt.count)
			for i := range numbers {
				numbers[i] = 1000 + i*i*37%90000
			}
			text, err := plain{}.Marshal(numbers)
			if err != nil || len(text) > tt.most {
				t.Errorf("%d bytes, %v, want at most %d", len(text), err, tt.most)
			}
			var read []int
			if err := (plain{}).Unmarshal(text, &read); err != nil || !slices.Equal(read, numbers) {
				t.Errorf("read %v, %v, want what was written", read, err)
			}
			if len(text) > 200 && (plain{}).Unmarshal(text[:200], &read) == nil {
				t.Error("a message that was cut is read")
			}
		})
	}
}

// A peer that is paused accepts connections and answers nothing.
func TestCallOfPausedPeerEnds(t *testing.T) {
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
			t.Error("a paused peer answered")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the call went on after its context ended")
	}
}
