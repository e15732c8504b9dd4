package ratelimit

// owner is a node that may keep the budget of an endpoint.
type owner struct {
	Node
	// standby is set for every owner but the first.
	standby bool
}
