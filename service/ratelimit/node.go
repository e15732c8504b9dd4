package ratelimit

// Node is a node that may keep budgets.
type Node struct {
	ID string
	// Address is empty for this node.
	Address string
}
