package settings

// EdgeStore says where the key-value store of the platform is.
type EdgeStore struct {
	Address string `yaml:"address"`
}
