package message

// Holding states that a node owns a cell or a claim shard. Of two holdings of one resource, the one with the higher fence is
// valid.
type Holding struct {
	Resource string
	Node     string
	// Address is the peer address of the node.
	Address string
	Fence   uint64
}
