package rollout

// simulatedNode is a node that sends requests and counts their outcomes.
type simulatedNode struct {
	exposure *Exposure
	tally    Tally
	sequence uint64
	// phase is the phase that the node applies.
	phase Phase
}
