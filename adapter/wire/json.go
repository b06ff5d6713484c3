package wire

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"

	"github.com/gravitational/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
)

// packedFrom is the size in bytes from which messages are packed: counts and maps
// are mostly digits and take less than half, and stewards' links are narrow.
const packedFrom = 512

// packedMark begins a packed message. No JSON begins with it.
const packedMark = 0

// plain encodes the messages of calls that have no generated code.
type plain struct{}

// Marshal returns a message as JSON, packed where it is long.
func (plain) Marshal(message drpc.Message) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil || len(text) < packedFrom {
		return text, err
	}
	packed := bytes.NewBuffer([]byte{packedMark})
	packer := packers.Get().(*flate.Writer)
	defer packers.Put(packer)
	packer.Reset(packed)
	if _, err := packer.Write(text); err != nil {
		return nil, err
	}
	err = packer.Close()
	return packed.Bytes(), err
}

// Unmarshal reads a message from JSON, which may be packed.
func (plain) Unmarshal(text []byte, message drpc.Message) error {
	if len(text) == 0 || text[0] != packedMark {
		return json.Unmarshal(text, message)
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(text[1:])), maxMessage))
	if err != nil {
		return trace.BadParameter("the message can't be unpacked: %v", err)
	}
	return json.Unmarshal(text, message)
}

// packers holds writers for reuse. Huffman coding alone suits digits and needs
// little memory and time.
var packers = sync.Pool{New: func() any {
	packer, err := flate.NewWriter(io.Discard, flate.HuffmanOnly)
	if err != nil {
		panic(err) // the level is a constant that exists
	}
	return packer
}}

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
