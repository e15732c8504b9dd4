package settings

// EdgeListen holds the addresses of the listeners, as IP:port.
type EdgeListen struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Metrics   string `yaml:"metrics"`
	// Peers is also the address that other nodes dial.
	Peers string `yaml:"peers"`
}
