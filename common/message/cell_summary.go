package message

// CellSummary tells a router how busy a cell is.
type CellSummary struct {
	// Queued is the number of waiting requests.
	Queued int
	// Free is the number of requests that the limits of the endpoints would let start at once.
	Free int
	// Load is the mean load of the endpoints that take new work, from 0 to 1: requests in flight against the limit or,
	// where the policy looks at it, expected memory against its size, whichever is higher.
	Load float64
}
