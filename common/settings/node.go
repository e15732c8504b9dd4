package settings

// Node configures the identity and the location of the node.
type Node struct {
	// ID defaults to the peer address.
	ID string `yaml:"id"`
	// DataCentre is the data centre of the host.
	DataCentre string `yaml:"data_centre"`
	Region     string `yaml:"region"`
}
