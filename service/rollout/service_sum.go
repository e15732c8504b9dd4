package rollout

import "azuredyke.dev/azuredyke/decision/rollout"

// ServiceSum holds the counts of several processes for the roll-out of one service.
type ServiceSum struct {
	Service  string `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
	// AgeMillis is the largest age of the order.
	AgeMillis int64 `cbor:"3,keyasint"`
	// Confirmed is the number of nodes that send everything to the target and have no request on an old endpoint.
	Confirmed int           `cbor:"4,keyasint,omitempty"`
	Tally     rollout.Tally `cbor:"5,keyasint"`
}
