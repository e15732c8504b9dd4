package gather

// RelayCandidate is a node that can become a relay of its data centre.
type RelayCandidate struct {
	ID string
	// Capacity is the processor capacity of the node in thousandths of a core; 0 if it is unknown.
	Capacity int
}
