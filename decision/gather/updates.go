package gather

import "azuredyke.dev/azuredyke/decision/dispatch"

// Updates are what a relay tells at one moment. They are built before the sums change again.
type Updates struct {
	sums   *Sums
	update pendingUpdate
	// all lists the endpoints with a load; it is only set for full updates.
	all []string
}

// OfDataCentre returns the update for the relays of other data centres: the sum of the own one.
func (u Updates) OfDataCentre() Update {
	return u.update.of(u.all, func(endpoint string) dispatch.Load { return u.sums.local[endpoint] })
}

// For returns the update for a node of the own data centre: the sum of all others.
func (u Updates) For(node string) Update {
	return u.update.of(u.all, func(endpoint string) dispatch.Load { return u.sums.othersOf(node, endpoint) })
}
