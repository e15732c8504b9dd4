package node

import (
	"crypto/tls"
	"net"
	"net/http"

	"azuredyke.dev/azuredyke/common/httpserver"
	"azuredyke.dev/azuredyke/common/settings"
)

// maxHeaderBytes bounds the headers of a request.
const maxHeaderBytes = 64 << 10

// newHTTPServer returns a server of one listener.
func newHTTPServer(l net.Listener, h http.Handler, limits settings.Limits, tlsConfig *tls.Config) *httpserver.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(tlsConfig != nil)
	return &httpserver.Server{Listener: l, HTTP: &http.Server{
		// A ReadTimeout would end the context of a request that runs longer, so the time to read a body is bounded where
		// the body is read.
		Handler: h, ReadHeaderTimeout: limits.HeaderTimeout, MaxHeaderBytes: maxHeaderBytes, Protocols: protocols, TLSConfig: tlsConfig,
	}}
}
