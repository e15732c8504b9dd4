package experiment

import "time"

// Arrival is one scheduled request.
type Arrival struct {
	// At is the scheduled time of the request, relative to the start of the load.
	At        time.Duration
	Class     Class
	Workspace WorkspaceWorkload
	// Prompt is the prompt of a completion request.
	Prompt string
	// IsOrder is set for a call to the plain service, as opposed to a completion request.
	IsOrder bool
	// Key is the Idempotency-Key of an unrepeatable call, empty for other requests.
	Key string
}
