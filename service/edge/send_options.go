package edge

import "azuredyke.dev/azuredyke/decision/fleet"

// sendOptions says how a sending differs from a request's first one.
type sendOptions struct {
	// copyAt is the endpoint that keeps a copy of the run's memory, from which the run goes on; nil starts anew.
	copyAt *fleet.Endpoint
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
}
