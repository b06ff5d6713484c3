package wire

import (
	"context"
	"net"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server serves drpc calls on one listener.
type Server struct {
	tomb     tomb.Tomb
	listener net.Listener
	server   *drpcserver.Server
}

// NewServer serves agent on listener until Close.
func NewServer(listener net.Listener, agent DRPCAgentServer) (*Server, error) {
	mux := drpcmux.New()
	if err := DRPCRegisterAgent(mux, agent); err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{
		listener: listener,
		server:   drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}),
	}
	s.tomb.Go(s.run)
	return s, nil
}

// Close closes all connections and waits until their calls have returned.
func (s *Server) Close() error {
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

func (s *Server) run() error {
	ctx := s.tomb.Context(context.Background())
	if err := s.server.Serve(ctx, s.listener); err != nil && ctx.Err() == nil {
		return trace.Wrap(err)
	}
	return nil
}
