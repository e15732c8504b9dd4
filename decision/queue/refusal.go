package queue

import "time"

// Refusal is the reason why Push did not accept an item. The request has not run.
type Refusal struct {
	// Full is set if the queue is full; otherwise the item was predicted to wait past its deadline.
	Full bool
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}
