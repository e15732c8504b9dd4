package dispatch

// Load is what one node has in flight on one endpoint.
type Load struct {
	Endpoint string `cbor:"1,keyasint"`
	InFlight int    `cbor:"2,keyasint,omitempty"`
	// Tokens is the expected memory of the runs, copies included.
	Tokens int `cbor:"3,keyasint,omitempty"`
	// Prefill is the number of prompt tokens of runs without a first event.
	Prefill int `cbor:"4,keyasint,omitempty"`
}
