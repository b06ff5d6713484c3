package wire

import (
	"context"
	"encoding/json"
	"net"

	"github.com/gravitational/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
)

// plain encodes the messages of calls that have no generated code.
type plain struct{}

// Marshal returns a message as JSON.
func (plain) Marshal(message drpc.Message) ([]byte, error) { return json.Marshal(message) }

// Unmarshal reads a message from JSON.
func (plain) Unmarshal(text []byte, message drpc.Message) error { return json.Unmarshal(text, message) }

// Call makes one call by name, with messages as JSON.
func (c *Client) Call(ctx context.Context, address, name string, in, out any) error {
	lease, err := c.Lease(ctx, address)
	if err != nil {
		return err
	}
	err = lease.conn.Invoke(ctx, name, plain{}, in, out)
	lease.Return(err == nil)
	if err != nil {
		return trace.ConnectionProblem(err, "%s gave no answer to %s", address, name)
	}
	return nil
}

// Handlers answer calls by name.
type Handlers map[string]Handler

// Handler answers one call: it reads the question with read and returns the answer.
type Handler func(ctx context.Context, read func(any) error) (any, error)

// HandleRPC answers one call.
func (h Handlers) HandleRPC(stream drpc.Stream, name string) error {
	handler, found := h[name]
	if !found {
		return trace.NotFound("call %s does not exist; run the same version everywhere", name)
	}
	answer, err := handler(stream.Context(), func(message any) error { return stream.MsgRecv(message, plain{}) })
	if err != nil {
		return err
	}
	return stream.MsgSend(answer, plain{})
}

// NewHandlersServer answers calls on listener until Close.
func NewHandlersServer(listener net.Listener, handlers Handlers) *Server {
	s := &Server{listener: listener, server: drpcserver.NewWithOptions(handlers, drpcserver.Options{Manager: managerOptions()})}
	s.tomb.Go(s.run)
	return s
}
