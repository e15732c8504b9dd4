// Package httpserver serves HTTP on a listener that is already open.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// Server serves one listener.
type Server struct {
	Listener net.Listener
	HTTP     *http.Server
}

// Run serves until the server is stopped or closed, in which case it returns nil.
func (s *Server) Run() error {
	serve := func() error { return s.HTTP.Serve(s.Listener) }
	if s.HTTP.TLSConfig != nil {
		serve = func() error { return s.HTTP.ServeTLS(s.Listener, "", "") }
	}
	if err := serve(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Stop closes the listener and waits for running requests. It closes their connections when ctx ends.
func (s *Server) Stop(ctx context.Context) {
	if s.HTTP.Shutdown(ctx) != nil {
		s.Close()
	}
}

// Close closes the listener and all connections at once. It is meant for servers whose connections never become idle.
func (s *Server) Close() { _ = s.HTTP.Close() }
