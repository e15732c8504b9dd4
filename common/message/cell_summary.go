package message

// CellSummary describes the load of a cell. Routers use it to choose a cell.
type CellSummary struct {
	// Queued is the number of queued requests.
	Queued int
	// Free is the number of requests that could start immediately within the limits of the endpoints.
	Free int
	// Load is the mean load of the endpoints that accept new requests, from 0 to 1. The load of an endpoint is the ratio of
	// requests in flight to its limit. If the policy considers memory, it is the higher of this ratio and the ratio of
	// expected memory use to memory size.
	Load float64
}
