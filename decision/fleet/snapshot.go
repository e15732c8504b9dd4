package fleet

import "azuredyke.dev/azuredyke/common/catalog"

// Snapshot is an immutable view of the fleet.
type Snapshot struct {
	// Configuration is nil before the first one is known.
	Configuration *catalog.Configuration
	// Out names the data centres that operators took out.
	Out map[string]bool
	// Endpoints lists the endpoints of each service, sorted by id.
	Endpoints map[string][]Endpoint
}
