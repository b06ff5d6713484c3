package agents_test

import (
	"net"
	"testing"
	"time"

	"hornbeamtray/adapter/wire"
	"hornbeamtray/entry/agents"
	"hornbeamtray/entry/serve"
)

// statusAgent is an agent whose answers have a status and no body.
type statusAgent struct {
	wire.DRPCAgentUnimplementedServer

	status uint32
}

// Serve implements wire.DRPCAgentServer.
func (s *statusAgent) Serve(_ *wire.Request, stream wire.DRPCAgent_ServeStream) error {
	if err := stream.Send(&wire.Piece{Head: &wire.Head{Status: s.status}}); err != nil {
		return err
	}
	return stream.Send(&wire.Piece{End: &wire.End{}})
}

// TestHeadWithoutFinalStatus guards against an agent that passes on bytes that are no answer:
// callers would get them as one.
func TestHeadWithoutFinalStatus(t *testing.T) {
	tests := []struct {
		status uint32
		valid  bool
	}{{0, false}, {99, false}, {100, false}, {101, false}, {199, false}, {200, true}, {404, true}, {599, true}, {600, false}, {999, false}, {1 << 31, false}}
	for _, tt := range tests {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server, err := wire.NewServer(listener, &statusAgent{status: tt.status})
		if err != nil {
			t.Fatal(err)
		}
		client := wire.NewClient()
		stream, err := agents.New("e", "d", time.Second, client).Serve(t.Context(), listener.Addr().String(), serve.Call{Deadline: time.Now().Add(time.Minute)})
		if err != nil {
			t.Fatal(err)
		}
		part, err := stream.Next()
		if (err == nil) != tt.valid || tt.valid && part.Head.Status != int(tt.status) {
			t.Errorf("status %d: the part is %+v, %v; want it accepted: %t", tt.status, part, err, tt.valid)
		}
		stream.Close()
		_ = client.Close()
		_ = server.Close()
	}
}
