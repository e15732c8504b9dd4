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

// answers returns the number of answers in the sum, by which the more complete one of two sums is told.
func (s *ServiceSum) answers() int64 {
	total := int64(0)
	for _, e := range s.Tally.Entries {
		total += e.Answers + e.Sends
	}
	return total
}
