package rollout

import "slices"

// Plan is the state of one roll-out as the decider stores it and all nodes follow it. It is immutable.
type Plan struct {
	Order Order `cbor:"1,keyasint"`
	Phase Phase `cbor:"2,keyasint"`
	// OldVersions are the versions that served before the order.
	OldVersions []string `cbor:"3,keyasint"`
	// Reason is the reason of the phase, for operators.
	Reason string `cbor:"4,keyasint,omitempty"`
	// Decider is the node that wrote the plan, and Term the revision under which it became the decider.
	Decider string `cbor:"5,keyasint,omitempty"`
	Term    int64  `cbor:"6,keyasint,omitempty"`
}

// Group returns the group of a version under the plan.
func (p *Plan) Group(version string) Group {
	switch {
	case version == p.Order.Target:
		return TargetGroup
	case slices.Contains(p.OldVersions, version):
		return OldGroup
	default:
		return OtherGroup
	}
}
