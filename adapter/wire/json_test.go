package wire

import (
	"context"
	"net"
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
