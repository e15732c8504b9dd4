package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
)

// credentials holds the parsed content of the files. It is immutable.
type credentials struct {
	content content
	// certificate is nil when none is set. A nil pool means the system's CAs.
	certificate *tls.Certificate
	pool        *x509.CertPool
}
