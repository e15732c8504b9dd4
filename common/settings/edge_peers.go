package settings

// EdgePeers configures the links between nodes.
type EdgePeers struct {
	// Seeds lists the peer addresses that are used until other peers are read from the store. The seeds may be unreachable.
	Seeds []string `yaml:"seeds"`
	// TrustedNetwork allows links without a shared secret, for platforms that restrict access to the network.
	TrustedNetwork bool `yaml:"trusted_network"`
}
