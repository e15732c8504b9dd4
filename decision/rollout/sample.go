package rollout

import "time"

// Sample is the outcome of one request at an endpoint.
type Sample struct {
	Group Group
	// Route is the name of the route, which tells kinds of requests apart.
	Route  string
	Failed bool
	// FirstEvent is the time to the first event, or to the whole answer of a request that is not streamed; 0 if there was none.
	FirstEvent time.Duration
	// Interval is the mean time between two events; 0 if the answer had fewer than two.
	Interval time.Duration
}
