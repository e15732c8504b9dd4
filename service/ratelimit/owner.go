package ratelimit

// owner is a node that may keep the budget of an endpoint.
type owner struct {
	node string
	// address is empty for this node.
	address string
	// standby is set for every owner but the first.
	standby bool
}
