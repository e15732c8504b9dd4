package rollout

import "time"

// simulatedRoute is a kind of requests.
type simulatedRoute struct {
	name string
	// rate is the number of requests per second.
	rate float64
	// failures is the share that fails without a fault.
	failures float64
	// firstEvent is the median time to the first event.
	firstEvent time.Duration
	// events is the number of events after the first one, interval the time between two.
	events   int
	interval time.Duration
}

// simulatedService is a service with the same number of endpoints for each version.
type simulatedService struct {
	name      string
	endpoints int
	routes    []simulatedRoute
}

// streamed and plain have the rates of the deployments: 88 streams/s or 124 calls/s.
var (
	streamed = simulatedService{"streamed", 44, []simulatedRoute{
		{"long", 30, 0.004, 400 * time.Millisecond, 187, 30 * time.Millisecond},
		{"short", 58, 0.004, 400 * time.Millisecond, 1, 30 * time.Millisecond},
	}}
	plain = simulatedService{"plain", 12, []simulatedRoute{
		{"once", 74, 0.004, 60 * time.Millisecond, 0, 0},
		{"repeatable", 50, 0.14, 60 * time.Millisecond, 0, 0},
	}}
	repeatable = simulatedService{"repeatable", 12, []simulatedRoute{{"repeatable", 124, 0.14, 60 * time.Millisecond, 0, 0}}}
	fewPlain   = simulatedService{"plain, 4 endpoints", 4, plain.routes}
)
