package config

// DataCentre is a group of hosts that operators take out of use, and bring back, as a whole.
type DataCentre struct {
	Region string
	// Out is set while the data centre is out of use and receives no new work.
	Out bool
}
