package dispatch

// Load is the load of one node, or the sum of several, on one endpoint.
type Load struct {
	Endpoint string `cbor:"1,keyasint"`
	InFlight int    `cbor:"2,keyasint,omitempty"`
	// Tokens is the expected memory of the runs in tokens, copies included.
	Tokens int `cbor:"3,keyasint,omitempty"`
	// Prefill is the number of prompt tokens of the runs that have not sent their first event.
	Prefill int `cbor:"4,keyasint,omitempty"`
	// SpeedSum and SpeedCount are the sum and the number of the measurements of the endpoint's speed, in the units of
	// speed.Estimate.Share. Both add up over nodes.
	SpeedSum   int `cbor:"5,keyasint,omitempty"`
	SpeedCount int `cbor:"6,keyasint,omitempty"`
}
