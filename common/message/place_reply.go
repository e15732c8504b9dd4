package message

// PlaceReply answers a PlaceRequest; exactly one of Grant and Refusal is set.
type PlaceReply struct {
	Grant   *Grant
	Refusal *Refusal
	// Summary is the state of the cell after the decision.
	Summary CellSummary
}
