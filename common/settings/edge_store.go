package settings

// EdgeStore configures the key-value store of the platform.
type EdgeStore struct {
	Address string `yaml:"address"`
}
