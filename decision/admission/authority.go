package admission

// Authority holds the permissions of a cell's owner at the moment of a decision. The caller reads it anew for each
// decision, so that a node that was paused detects a lost lease before it acts.
type Authority struct {
	// Owned is set while the node holds the cell with the cell's fencing token.
	Owned bool
	// Confirmed is set while the lease is certain to be valid. Without it, only warm endpoints receive work.
	Confirmed bool
	// DataCentreOut is set while the data centre of the cell is closed to new work.
	DataCentreOut bool
}
