package dispatch

import "azuredyke.dev/azuredyke/decision/rollout"

// RolloutRun is the part of a run in the roll-out of its service.
type RolloutRun struct {
	// Revision is the revision of the order in force.
	Revision int64
	Group    rollout.Group
	// Cold is set if the endpoint was in its cold start when the request was placed.
	Cold bool
}
