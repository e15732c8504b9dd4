package exchange

import "time"

// Attempt holds the parameters of one attempt to run a request on an endpoint.
type Attempt struct {
	// Endpoint is the id of the process that must run the request. Address is its listening address.
	Endpoint string
	Address  string
	// Workspace is the name of the workspace that owns the API key; it is empty when no key was needed.
	Workspace string
	// Deadline is the time at which the endpoint stops the run.
	Deadline time.Time
	// Backup is the address of the endpoint that keeps a copy of the run's memory.
	Backup string
	// CopyAddress is the address of the endpoint with the copy of the run's memory from which the run continues; it is
	// empty for a new run.
	CopyAddress string
	// CopyHandle identifies the copy; empty means the copy that is updated while the run generates tokens.
	CopyHandle string
	// OnStatement is called with what the endpoint says about itself when the header of its answer arrives, also if that is nothing. It
	// may be nil.
	OnStatement func(Statement)
	// Priority is the rank by which the endpoint orders its work, from 0, the most urgent, to 9. It is stated only if HasPriority
	// is set.
	Priority    int
	HasPriority bool
	// LastEvent is the id of the last event that the caller received.
	LastEvent string
}
