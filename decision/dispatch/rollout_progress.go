package dispatch

import (
	"strings"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// RolloutProgress is how far a node has followed the roll-out of one service.
type RolloutProgress struct {
	Service string
	// Revision is the revision of the plan's order; 0 without a plan.
	Revision int64
	Phase    rollout.Phase
	// Stopped is set while the target gets nothing because the decider cannot write.
	Stopped bool
	// OldRuns is the number of this node's requests that run on old endpoints.
	OldRuns int
}

func (p RolloutProgress) compare(o RolloutProgress) int { return strings.Compare(p.Service, o.Service) }
