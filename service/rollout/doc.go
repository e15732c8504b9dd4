// Package rollout moves the traffic of a service to a new version of its endpoints when operators order it, or back. A Manager on
// each node counts the outcomes of its requests and sends them to the relays; a Decider on the primary relay of each data centre
// competes for the right to write the plans that all nodes follow.
package rollout

import "github.com/zeebo/errs"

// Error is the class of errors of this package.
var Error = errs.Class("rollout")

// Keys in the store.
const (
	// PlanPrefix is followed by the service of a plan.
	PlanPrefix = "azuredyke/rollouts/"
	// DeciderKey is the key of the node that may write plans. It is attached to that node's lease.
	DeciderKey = "azuredyke/rollout-decider"
)
