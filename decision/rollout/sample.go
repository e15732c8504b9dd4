package rollout

import "time"

// Sample is the outcome of one request at an endpoint. A request that provably did not run there has no outcome.
type Sample struct {
	Group Group
	// Route is the name of the route, which tells kinds of requests apart.
	Route string
	// Endpoint is the ID of the endpoint, by which a fault of one endpoint is told from a fault of the version.
	Endpoint string
	Failed   bool
	// Cold means that the endpoint was in its cold start when the request was sent. Its times are then not compared.
	Cold bool
	// Started means that Tally.RecordFirstEvent has counted the first event of the request.
	Started bool
	// FirstEvent is the time to the first event, or to the whole answer of a request that is not streamed; 0 if there was none or
	// if Started is set.
	FirstEvent time.Duration
	// Interval is the mean time between two events; 0 if the answer had fewer than two or if Tally.RecordInterval has counted it.
	Interval time.Duration
}
