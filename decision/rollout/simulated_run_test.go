package rollout

import "time"

// simulatedRun is a request at an endpoint.
type simulatedRun struct {
	node     *simulatedNode
	route    *simulatedRoute
	endpoint *simulatedEndpoint
	// started and measured mean that the first event and the interval were counted, ended that the outcome was.
	started, measured, ended bool
	cold                     bool
	// affected means that the fault of the version made the answer bad.
	affected bool
}

// sample returns what the node counts.
func (r *simulatedRun) sample(firstEvent, interval time.Duration) Sample {
	return Sample{
		Group: r.endpoint.group, Route: r.route.name, Endpoint: r.endpoint.id, Cold: r.cold, Started: r.started,
		FirstEvent: firstEvent, Interval: interval,
	}
}
