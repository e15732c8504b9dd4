package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
)

// material is the parsed content of the files. It is immutable.
type material struct {
	content content
	// certificate is nil when none is set; pool is nil for the system's CAs.
	certificate *tls.Certificate
	pool        *x509.CertPool
}
