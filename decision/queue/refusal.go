package queue

import "time"

// Refusal says why an item was not accepted. The request has not run.
type Refusal struct {
	// Full is set when the queue holds its maximum; otherwise the item would have waited past its deadline.
	Full bool
	// RetryAfter is when a new try could succeed.
	RetryAfter time.Duration
}
