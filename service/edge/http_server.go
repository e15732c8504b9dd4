package edge

import (
	"errors"
	"net"
	"net/http"
)

// httpServer serves one listener.
type httpServer struct {
	listener net.Listener
	server   *http.Server
}

// run serves until the server is closed; a planned stop is not an error.
func (s *httpServer) run() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
