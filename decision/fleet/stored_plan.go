package fleet

import "azuredyke.dev/azuredyke/decision/rollout"

// StoredPlan is the plan of a roll-out with the revision of its entry.
type StoredPlan struct {
	Plan     *rollout.Plan
	Revision int64
}
