package rollout

import "time"

// Evidence is what the decider knows of a roll-out at one moment.
type Evidence struct {
	// Elapsed is the time since the order, by the node that knows it best.
	Elapsed time.Duration
	// Tally holds the counts of all nodes.
	Tally Tally
	// OldEndpoints and TargetEndpoints are the numbers of endpoints that accept requests.
	OldEndpoints, TargetEndpoints int
	// Unconfirmed is the number of listed nodes that have not confirmed Promoting or still have requests on old endpoints.
	Unconfirmed int
}
