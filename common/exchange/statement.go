package exchange

import "time"

// Statement is what an endpoint says about itself in the header of an answer.
type Statement struct {
	// Leaving is set if the endpoint has begun to leave.
	Leaving bool
	// Pause is the time for which the endpoint wants no requests from this node; 0 if it said nothing.
	Pause time.Duration
}
