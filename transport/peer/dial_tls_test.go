package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against links that are not encrypted although TLS is configured, and against links that accept any certificate.
func TestLinksOverTLS(t *testing.T) {
	node := startNode(t, Options{}, registerEcho)
	server := httptest.NewTLSServer(node.hub.Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	pool := x509.NewCertPool()
	pool.AddCert(server.Certificate())
	client := startNode(t, Options{TLS: func() *tls.Config { return &tls.Config{RootCAs: pool} }}, nil)
	reply, err := Call[string, string](testContext(t), client.hub, address, "echo", "x")
	assert.NilError(t, err)
	assert.Equal(t, reply, "x")
	other := startNode(t, Options{TLS: func() *tls.Config { return &tls.Config{RootCAs: x509.NewCertPool()} }}, nil)
	_, err = Call[string, string](testContext(t), other.hub, address, "echo", "x")
	assert.Assert(t, ErrNotDelivered.Has(err))
	assert.ErrorContains(t, err, "certificate")
}
