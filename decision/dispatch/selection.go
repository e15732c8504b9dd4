package dispatch

// selection is a set of versions that a request of a service under a roll-out may use.
type selection uint8

const (
	// selectOld holds the versions that served before the order.
	selectOld selection = iota
	// selectAllButTarget holds all versions but those that an order without a plan names.
	selectAllButTarget
	// selectCanary holds the endpoints of the target that get the canary share.
	selectCanary
	// selectTarget holds all endpoints of the target.
	selectTarget
	// selectAllButOld holds the target and the versions that were not known when the plan was made.
	selectAllButOld
	// selectAllButReverted holds all versions but the target of a plan that was reverted and whose order was removed.
	selectAllButReverted
	// selectNone holds nothing.
	selectNone
)
