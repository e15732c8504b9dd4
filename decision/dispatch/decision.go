package dispatch

import "time"

// Decision ends the wait of a held request.
type Decision struct {
	Held *HeldRequest
	// Placement is valid if Refusal is empty.
	Placement Placement
	Refusal   Refusal
	// RetryAfter is the time after which a refused request can be served; 0 if that is not known.
	RetryAfter time.Duration
}
