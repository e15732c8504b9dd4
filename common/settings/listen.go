package settings

// Listen holds the addresses of the listeners, as IP:port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Metrics   string `yaml:"metrics"`
	Peers     string `yaml:"peers"`
	// PeersAdvertised is the address that other nodes dial; it defaults to Peers.
	PeersAdvertised string `yaml:"peers_advertised"`
}
