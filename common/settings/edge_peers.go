package settings

// EdgePeers configures the links between nodes.
type EdgePeers struct {
	// Seeds are peer addresses that are asked before the store has told of others. They may be down.
	Seeds []string `yaml:"seeds"`
	// TrustedNetwork allows links without a shared secret, for platforms whose network keeps others out.
	TrustedNetwork bool `yaml:"trusted_network"`
}
