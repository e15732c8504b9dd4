package fleet

import "azuredyke.dev/azuredyke/common/catalog"

// Snapshot is an immutable view of the fleet.
type Snapshot struct {
	// Configuration is nil until the first one is read.
	Configuration *catalog.Configuration
	// Out contains the names of the data centres that operators took out.
	Out map[string]bool
	// Endpoints maps each service to its endpoints, sorted by id.
	Endpoints map[string][]Endpoint
}
