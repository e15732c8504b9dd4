package limit

// Ask asks for the permission of one request to an endpoint that limits the requests of all nodes.
type Ask struct {
	// Rate is the number of requests per second that the endpoint takes from all nodes together, as the node knows it.
	Rate float64 `cbor:"1,keyasint"`
	// Standby is set if the node could not reach the first owner of the endpoint's budget. Other nodes may still reach it.
	Standby bool `cbor:"2,keyasint,omitempty"`
	// Continues is set if the request continues a run whose first endpoint has failed or is leaving.
	Continues bool `cbor:"3,keyasint,omitempty"`
}
