package rollout

// Group is the part that the endpoints of a version have in a roll-out.
type Group uint8

const (
	// OtherGroup is the zero value: the version belongs to an earlier roll-out that was replaced, or is not known.
	OtherGroup Group = iota
	// OldGroup holds the versions that served before the order.
	OldGroup
	// TargetGroup holds the version to which the traffic is to move.
	TargetGroup
)
