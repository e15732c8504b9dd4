package node

import (
	"context"
	"errors"
	"net"
	"net/http"

	"azuredyke.dev/azuredyke/common/settings"
)

// maxHeaderBytes bounds the headers of a request.
const maxHeaderBytes = 64 << 10

// httpServer serves one listener.
type httpServer struct {
	listener net.Listener
	server   *http.Server
}

func newHTTPServer(l net.Listener, h http.Handler, limits settings.Limits) *httpServer {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &httpServer{listener: l, server: &http.Server{
		// A ReadTimeout would end the context of a request that runs longer, so the time to read a body is bounded where
		// the body is read.
		Handler: h, ReadHeaderTimeout: limits.HeaderTimeout, MaxHeaderBytes: maxHeaderBytes, Protocols: protocols,
	}}
}

// run serves until stop; a planned stop is not an error.
func (s *httpServer) run() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// stop closes the listener and waits for running requests until ctx ends.
func (s *httpServer) stop(ctx context.Context) {
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
}

// close closes the listener and all connections, for servers whose connections never become idle.
func (s *httpServer) close() { _ = s.server.Close() }
