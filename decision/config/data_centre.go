package config

// DataCentre is a group of hosts that operators take out and bring back together.
type DataCentre struct {
	Region string
	// Out is set while the data centre receives no new work.
	Out bool
}
