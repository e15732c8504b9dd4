package admission

// Authority is what an owner may do at the moment of a decision. It must be read anew for each decision, so that a node
// that was paused notices before it acts.
type Authority struct {
	// Owned is set while the node holds the cell with the cell's fencing token.
	Owned bool
	// Confirmed is set while the lease is certain to be valid. Without it, only warm endpoints get work.
	Confirmed bool
	// Out is set while the data centre of the cell receives no new work.
	Out bool
}
