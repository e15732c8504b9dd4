package settings

// TLSFiles names PEM files, which are reloaded when they change.
type TLSFiles struct {
	// Certificate and Key are the files of this node's certificate and its private key.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// CA verifies the certificate of the peer. A listener with a CA requires client certificates.
	CA string `yaml:"ca"`
}

// Enabled reports whether TLS is used.
func (f TLSFiles) Enabled() bool { return f != TLSFiles{} }
