package exchange

import "time"

// Statement is what an endpoint says about itself in the header of an answer.
type Statement struct {
	// Leaving is set if the endpoint has begun to leave.
	Leaving bool
	// Pause is the time for which the endpoint wants no requests from this node; 0 if it said nothing.
	Pause time.Duration
	// RateLimit is the number of requests per second that the endpoint takes from all nodes together. It counts only if HasRateLimit is
	// set; an answer without it says that there is no limit.
	RateLimit    float64
	HasRateLimit bool
	// InvalidRateLimit is set if the answer has a limit that can't be used. It says nothing about the limit.
	InvalidRateLimit bool
}
