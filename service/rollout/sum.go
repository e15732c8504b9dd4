package rollout

// Sum holds the counts of all nodes of a data centre, as one of its relays knows them.
type Sum struct {
	DataCentre string `cbor:"1,keyasint"`
	Relay      string `cbor:"2,keyasint"`
	// Epoch identifies the relay's process, and Sequence orders its sums.
	Epoch    uint64       `cbor:"3,keyasint"`
	Sequence uint64       `cbor:"4,keyasint"`
	Services []ServiceSum `cbor:"5,keyasint,omitempty"`
}
