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

// minCompressBytes is the size from which messages are compressed. The expert counts
// and expert maps that stewards exchange are mostly digits and shrink to less than
// half, and the links between stewards have little bandwidth.
const minCompressBytes = 512

// compressedMark is the first byte of a compressed message. No JSON text begins
// with it.
const compressedMark = 0

// jsonEncoding encodes the messages of calls that have no generated code as JSON.
type jsonEncoding struct{}

// Marshal returns a message as JSON, compressed if it has at least minCompressBytes.
func (jsonEncoding) Marshal(message drpc.Message) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil || len(text) < minCompressBytes {
		return text, err
	}
	compressed := bytes.NewBuffer([]byte{compressedMark})
	writer := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(writer)
	writer.Reset(compressed)
	if _, err := writer.Write(text); err != nil {
		return nil, err
	}
	err = writer.Close()
	return compressed.Bytes(), err
}

// Unmarshal decodes a message from JSON, which may be compressed.
func (jsonEncoding) Unmarshal(text []byte, message drpc.Message) error {
	if len(text) == 0 || text[0] != compressedMark {
		return json.Unmarshal(text, message)
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(text[1:])), maxMessageBytes))
	if err != nil {
		return trace.BadParameter("the message can't be decompressed: %v", err)
	}
	return json.Unmarshal(text, message)
}

// flateWriters holds writers for reuse. They use only Huffman coding, which suits
// digits and needs little memory and time.
var flateWriters = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.HuffmanOnly)
	if err != nil {
		panic(err) // unreachable: HuffmanOnly is a valid level
	}
	return writer
}}

// Call makes the named call to the process at address, with in as the request and
// out as the response, both encoded as JSON.
func (c *Client) Call(ctx context.Context, address, name string, in, out any) error {
	lease, err := c.Lease(ctx, address)
	if err != nil {
		return err
	}
	err = lease.conn.Invoke(ctx, name, jsonEncoding{}, in, out)
	lease.Return(err == nil)
	if err != nil {
		return trace.ConnectionProblem(err, "%s returned no answer to %s", address, name)
	}
	return nil
}

// Handlers maps the names of calls to their handlers.
type Handlers map[string]Handler

// Handler handles one call. It decodes the request with read and returns the
// response.
type Handler func(ctx context.Context, read func(any) error) (any, error)

// HandleRPC passes a call to its handler and sends the response.
func (h Handlers) HandleRPC(stream drpc.Stream, name string) error {
	handler, found := h[name]
	if !found {
		return trace.NotFound("call %s does not exist; run the same version everywhere", name)
	}
	answer, err := handler(stream.Context(), func(message any) error { return stream.MsgRecv(message, jsonEncoding{}) })
	if err != nil {
		return err
	}
	return stream.MsgSend(answer, jsonEncoding{})
}

// NewHandlersServer serves the calls of handlers on listener until Close.
func NewHandlersServer(listener net.Listener, handlers Handlers) *Server {
	s := &Server{listener: listener, server: drpcserver.NewWithOptions(handlers, drpcserver.Options{Manager: managerOptions()})}
	s.tomb.Go(s.run)
	return s
}
