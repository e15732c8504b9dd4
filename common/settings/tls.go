package settings

// TLS names the files of each listener and of each kind of outgoing connection. An empty entry means plain text.
type TLS struct {
	Callers   TLSFiles `yaml:"callers"`
	Operators TLSFiles `yaml:"operators"`
	Peers     TLSFiles `yaml:"peers"`
	Endpoints TLSFiles `yaml:"endpoints"`
	Platform  TLSFiles `yaml:"platform"`
}
