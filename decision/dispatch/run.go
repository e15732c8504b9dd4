package dispatch

import "time"

// run is the placement of a request that this node has sent or is about to send.
type run struct {
	// endpoint is the incarnation that runs the request. A later incarnation with the same id has counts of its own.
	endpoint *endpoint
	// backup holds a copy of the run's memory; nil if there is no copy.
	backup *endpoint
	// tokens is the expected memory of the run.
	tokens int
	// copyTokens is the expected memory of the copy.
	copyTokens         int
	prefill            int
	firstEventReceived bool
	// usage is that of the endpoint at the last measurement of the run.
	usage usage
	// prefillAhead is the number of prompt tokens that were to be computed before those of the run when it was placed.
	prefillAhead int
	// cachedTokens is the expected number of prompt tokens that the endpoint had cached.
	cachedTokens float64
	placedAt     time.Time
	resumed      bool
	// long is set if the run holds its memory for long.
	long      bool
	workspace string
	priority  int
}
