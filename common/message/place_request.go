package message

import "time"

// PlaceRequest asks the owner of a cell for an endpoint.
type PlaceRequest struct {
	RequestID string
	// Attempt starts at 1 and grows with each placement of the same request.
	Attempt   int
	Workspace string
	Service   string
	// Model is empty for plain services.
	Model string
	// Cell is the cell that is asked; the router fills it in.
	Cell string
	// Priority is from 0 to 9; higher is served first.
	Priority int
	// Weight is the share of the workspace relative to others, above 0.
	Weight       float64
	PromptTokens int
	// MaxTokens is the caller's bound on the output, 0 when there is none.
	MaxTokens int
	// PrefixHashes are the hashes of the prompt's leading blocks, in order.
	PrefixHashes []uint64
	// MaxWait is the longest time that the request may be queued.
	MaxWait time.Duration
	// Exclude lists endpoint ids that earlier attempts failed on.
	Exclude []string
	// Alone asks for an endpoint that runs nothing else, and keeps it so while the request runs.
	Alone bool
}
