package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
)

// Server returns the configuration of a listener, which uses the newest files at each handshake. If a CA is set, clients
// must present a certificate signed by the CA. Server returns an error if no certificate is set.
func (f *Files) Server() (*tls.Config, error) {
	if f.latest().certificate == nil {
		return nil, Error.New("a listener needs a certificate and a key")
	}
	c := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return f.latest().certificate, nil
		},
	}
	if f.paths.CA != "" {
		// ClientCAs cannot follow a change of the CA, so VerifyConnection verifies the certificate. It also runs for
		// resumed sessions.
		c.ClientAuth = tls.RequireAnyClientCert
		c.VerifyConnection = f.verifyClient
	}
	return c, nil
}

// verifyClient checks the client's certificate with the newest CA.
func (f *Files) verifyClient(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return Error.New("no client certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: f.latest().pool, Intermediates: intermediates, CurrentTime: f.now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return Error.Wrap(err)
}
