package rollout

// Peers sends messages to the Managers of the other nodes. Its methods don't block, and messages may be lost.
type Peers interface {
	// SendReport sends the counts of this node to the primary relay of its data centre, or to both relays.
	SendReport(r Report, both bool)
	// SendSum sends the counts of this data centre to the relays of the other ones.
	SendSum(Sum)
	// SendStop sends a stop notice to the other nodes of this data centre and to the relays of the other ones.
	SendStop(Stop)
	// ForwardStop passes on a stop notice of another data centre to the nodes of this one, if this node is a relay.
	ForwardStop(Stop)
}
