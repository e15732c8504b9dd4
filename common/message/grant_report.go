package message

import "time"

// GrantReport tells the owner of a cell what happened to a grant.
type GrantReport struct {
	Cell   string
	Fence  uint64
	Number uint64
	Event  GrantEvent
	// Tokens is the number of output tokens received so far.
	Tokens int
	// FirstToken is the time from the start to the first token, 0 until then.
	FirstToken time.Duration
	// Elapsed is the time since the start.
	Elapsed time.Duration
	// Sent is set once a byte of the request may have reached the endpoint.
	Sent bool
	// Leaving is set when the endpoint said in its refusal that it is leaving.
	Leaving bool
	// StaleFence is set when the endpoint refused the fencing token as too old.
	StaleFence bool
}
