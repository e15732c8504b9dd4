package settings

// TLSFiles names PEM files. They are read again when they change.
type TLSFiles struct {
	// Certificate and Key are presented to the other side.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// CA verifies the other side. A listener with a CA demands client certificates.
	CA string `yaml:"ca"`
}

// Enabled reports whether TLS is used.
func (f TLSFiles) Enabled() bool { return f != TLSFiles{} }
