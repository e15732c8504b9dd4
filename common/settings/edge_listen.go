package settings

// EdgeListen holds the addresses of the listeners, as IP:port.
type EdgeListen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Metrics   string `yaml:"metrics"`
	Peers     string `yaml:"peers"`
	// PeersAdvertised is the address that other nodes dial; it defaults to Peers.
	PeersAdvertised string `yaml:"peers_advertised"`
}
