package message

import "time"

// PlaceRequest asks the owner of a cell for an endpoint.
type PlaceRequest struct {
	RequestID string
	// Attempt is 1 for the first placement of a request, and increases with each further placement.
	Attempt   int
	Workspace string
	Service   string
	// Model is empty for plain services.
	Model string
	// Cell is the cell that handles the request. The router sets it.
	Cell string
	// Priority is from 0 to 9; requests with a higher priority are placed first.
	Priority int
	// Weight is the share of the workspace relative to the weights of other workspaces. It is above 0.
	Weight       float64
	PromptTokens int
	// MaxTokens is the caller's limit on output tokens; 0 means no limit.
	MaxTokens int
	// PrefixHashes are the hashes of the prompt's leading blocks, in order.
	PrefixHashes []uint64
	// MaxWait bounds the time that the request is queued.
	MaxWait time.Duration
	// Exclude lists the ids of the endpoints on which earlier attempts failed.
	Exclude []string
	// Alone requests an endpoint that runs no other request until this one has ended.
	Alone bool
}
