package node

import (
	"context"
	"crypto/tls"
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

func newHTTPServer(l net.Listener, h http.Handler, limits settings.Limits, tlsConfig *tls.Config) *httpServer {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(tlsConfig != nil)
	return &httpServer{listener: l, server: &http.Server{
		// A ReadTimeout would end the context of a request that runs longer, so the time to read a body is bounded where
		// the body is read.
		Handler: h, ReadHeaderTimeout: limits.HeaderTimeout, MaxHeaderBytes: maxHeaderBytes, Protocols: protocols, TLSConfig: tlsConfig,
	}}
}

// run serves until stop; a planned stop is not an error.
func (s *httpServer) run() error {
	serve := func() error { return s.server.Serve(s.listener) }
	if s.server.TLSConfig != nil {
		serve = func() error { return s.server.ServeTLS(s.listener, "", "") }
	}
	if err := serve(); !errors.Is(err, http.ErrServerClosed) {
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
