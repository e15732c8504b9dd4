package prefix

// Beginning is a part of a prompt with all parts before it.
type Beginning struct {
	// Hash identifies the ids of all parts and their order.
	Hash uint64
	// PartTokens is the size of the last part.
	PartTokens int
}
