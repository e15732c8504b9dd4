package message

import "time"

// Grant permits one request to start on one endpoint.
type Grant struct {
	Cell string
	// Number is unique within the cell and fence.
	Number uint64
	// Fence is the fencing token of the cell's owner.
	Fence    uint64
	Endpoint Endpoint
	// Incarnation is the endpoint's incarnation that the grant was made for.
	Incarnation string
	// StartWithin counts from the moment before the request for this grant was sent. After it, the grant is void.
	StartWithin time.Duration
	// TokenInterval is the expected time between tokens on this endpoint; 0 when unknown.
	TokenInterval time.Duration
}
