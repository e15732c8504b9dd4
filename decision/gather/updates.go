package gather

import "azuredyke.dev/azuredyke/decision/dispatch"

// Updates builds the updates that a relay sends to its receivers at one moment. They must be built before the sums change.
type Updates struct {
	sums   *LoadSums
	update pendingUpdate
	// loadedEndpoints lists the endpoints with a load. It is set for full updates only.
	loadedEndpoints []string
}

// ForDataCentres returns the update for the relays of other data centres: the sum of the relay's data centre.
func (u Updates) ForDataCentres() Update {
	return u.update.build(u.loadedEndpoints, func(endpoint string) dispatch.Load { return u.sums.local[endpoint] })
}

// ForNode returns the update for a node of the relay's data centre: its others' load.
func (u Updates) ForNode(node string) Update {
	return u.update.build(u.loadedEndpoints, func(endpoint string) dispatch.Load { return u.sums.othersLoad(node, endpoint) })
}
