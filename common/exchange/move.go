package exchange

// Move describes the transfer of a run's memory from one endpoint to another.
type Move struct {
	// Request is the id of the running request.
	Request string
	// Source and Target are the addresses of the endpoints.
	Source string
	Target string
	// Final is set if the source stops the run before the transfer.
	Final bool
}
