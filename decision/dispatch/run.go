package dispatch

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
	// promptTokens is the number of prompt tokens that are computed until the first event, those queued before included.
	promptTokens int
	// usage is that of the endpoint at the last measurement of the run.
	usage usage
}
