package message

// CellSummary tells a router how busy a cell is.
type CellSummary struct {
	// Queued is the number of waiting requests.
	Queued int
	// Free is the number of requests that could start at once.
	Free int
}
