package rollout

import "time"

// Order is an operator's order to move the traffic of a service to a version.
type Order struct {
	Service string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
	// Duration is the time from the order to its deadline.
	Duration time.Duration `cbor:"3,keyasint"`
	// Revision is the revision of the order's entry in the store, which tells an order from a repetition of it.
	Revision int64 `cbor:"4,keyasint"`
}
