package rollout

// Stop tells nodes to send nothing to the target of a roll-out, because the decider cannot write a plan. It ends stopTTL after its
// last repetition.
type Stop struct {
	Service string `cbor:"1,keyasint"`
	// Revision is the revision of the order.
	Revision int64 `cbor:"2,keyasint"`
}
