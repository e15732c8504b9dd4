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
	// StartWithin is the time for which the grant is valid, counted from just before the PlaceRequest was sent.
	StartWithin time.Duration
	// TokenInterval is the expected time between tokens on the endpoint; 0 means unknown.
	TokenInterval time.Duration
}
