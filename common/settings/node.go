package settings

// Node says which node this is and where it stands.
type Node struct {
	// ID defaults to the peer address.
	ID string `yaml:"id"`
	// DataCentre is the data centre that the host stands in.
	DataCentre string `yaml:"data_centre"`
	Region     string `yaml:"region"`
}
