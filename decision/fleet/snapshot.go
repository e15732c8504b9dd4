package fleet

import (
	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/rollout"
)

// Snapshot is an immutable view of the fleet.
type Snapshot struct {
	// Configuration is nil until the first one is read.
	Configuration *catalog.Configuration
	// Out contains the names of the data centres that operators took out.
	Out map[string]bool
	// Endpoints maps each service to its endpoints, sorted by id.
	Endpoints map[string][]Endpoint
	// Orders holds the operators' orders in force, and Plans the plans of roll-outs, by service.
	Orders map[string]rollout.Order
	Plans  map[string]StoredPlan
}
