package message

import "time"

// GrantReport reports an event of a grant to the owner of the cell.
type GrantReport struct {
	Cell   string
	Fence  uint64
	Number uint64
	Event  GrantEvent
	// Tokens is the number of output tokens received so far.
	Tokens int
	// FirstToken is the time from the start to the first token; it is 0 before the first token.
	FirstToken time.Duration
	// Elapsed is the time since the start.
	Elapsed time.Duration
	// Sent is set once a byte of the request may have reached the endpoint.
	Sent bool
	// Leaving is set when the endpoint refused the request because it is shutting down.
	Leaving bool
	// StaleFence is set when the endpoint refused the request because the fencing token is stale.
	StaleFence bool
}
