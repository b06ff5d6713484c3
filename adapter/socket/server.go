package socket

import (
	"context"
	"net"
	"net/http"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"
)

// Server runs an HTTP server on one listener.
type Server struct {
	tomb     tomb.Tomb
	listener net.Listener
	server   *http.Server
}

// Serve starts serving on listener until Drain or Close.
func Serve(listener net.Listener, server *http.Server) *Server {
	s := &Server{listener: listener, server: server}
	s.tomb.Go(s.run)
	return s
}

func (s *Server) run() error {
	if err := s.server.Serve(s.listener); err != nil && s.tomb.Alive() {
		return trace.Wrap(err)
	}
	return nil
}

// Drain stops accepting requests and waits until those in flight are done or ctx
// ends.
func (s *Server) Drain(ctx context.Context) error {
	s.tomb.Kill(nil)
	return trace.Wrap(s.server.Shutdown(ctx))
}

// Close closes all connections, including those with requests in flight, and waits
// until the server has stopped.
func (s *Server) Close() error {
	s.tomb.Kill(nil)
	_ = s.server.Close()
	return s.tomb.Wait()
}
