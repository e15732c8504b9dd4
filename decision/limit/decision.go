package limit

import "time"

// Decision answers whether a request may start.
type Decision struct {
	Admitted bool
	// Limit names the limit that refused the request.
	Limit string
	// RetryAfter is when the limit may let a request through.
	RetryAfter time.Duration
}
