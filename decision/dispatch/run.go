package dispatch

// run is a request that this node has sent or is about to send.
type run struct {
	// endpoint is the incarnation that runs the request; a later one of the same id starts with counts of its own.
	endpoint *endpoint
	// backup keeps a copy of the run's memory; nil when none does.
	backup *endpoint
	tokens int
	// copied is the memory that the copy is expected to take.
	copied  int
	prefill int
	// began is set once the first event has arrived.
	began bool
}
