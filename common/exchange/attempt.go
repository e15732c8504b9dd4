package exchange

import "time"

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	// Endpoint is the id of the process that must run the request, Address where it listens.
	Endpoint string
	Address  string
	// Workspace owns the request's key; empty when no key was needed.
	Workspace string
	// Deadline is when the endpoint stops work.
	Deadline time.Time
	// Backup is the address of the endpoint that is to keep a copy of the run's memory.
	Backup string
	// CopyAddress is where a copy of the run's memory is from which the run goes on; empty for a new run.
	CopyAddress string
	// CopyHandle names the copy; empty means the copy that was made as the run grew.
	CopyHandle string
	// LastEvent is the id of the last event that the caller has.
	LastEvent string
}
