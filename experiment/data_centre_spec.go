package experiment

// DataCentreSpec describes one data centre of a scenario.
type DataCentreSpec struct {
	Name    string `yaml:"name"`
	Engines int    `yaml:"engines"`
	// PlainEndpoints is the number of endpoints of the plain service.
	PlainEndpoints int `yaml:"plain_endpoints"`
}
