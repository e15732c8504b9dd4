package experiment

import "time"

// Arrival is one scheduled request.
type Arrival struct {
	// At counts from the start of the load.
	At        time.Duration
	Class     Class
	Workspace WorkspaceWorkload
	// Prompt is the text of a completion request.
	Prompt string
	// Order is set for a call to the plain service.
	Order bool
	// Key is the Idempotency-Key of an unrepeatable call, empty otherwise.
	Key string
}
