package ratelimit

// Limit is the limit of an endpoint, as a node announces it to the others.
type Limit struct {
	Endpoint Endpoint `cbor:"1,keyasint"`
	// Rate is the number of requests per second that the endpoint takes from all nodes together.
	Rate float64 `cbor:"2,keyasint"`
}
