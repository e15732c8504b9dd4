package node

import (
	"crypto/tls"
	"net"
	"net/http"

	"azuredyke.dev/azuredyke/common/httpserver"
	"azuredyke.dev/azuredyke/common/settings"
)

// maxHeaderBytes bounds the size of the headers of a request.
const maxHeaderBytes = 64 << 10

// newHTTPServer returns the server of one listener. It speaks plain text if tlsConfig is nil.
func newHTTPServer(l net.Listener, h http.Handler, limits settings.Limits, tlsConfig *tls.Config) *httpserver.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(tlsConfig != nil)
	return &httpserver.Server{Listener: l, HTTP: &http.Server{
		// ReadTimeout is not set, because it would also end the context of a request that runs longer. The code that reads
		// a body bounds the time to read it.
		Handler: h, ReadHeaderTimeout: limits.HeaderTimeout, MaxHeaderBytes: maxHeaderBytes, Protocols: protocols, TLSConfig: tlsConfig,
	}}
}
