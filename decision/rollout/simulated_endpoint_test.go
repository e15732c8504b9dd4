package rollout

import "time"

// simulatedEndpoint is an endpoint of the old or of the target version.
type simulatedEndpoint struct {
	id    string
	group Group
	// startedAt is the time at which it began to admit requests.
	startedAt time.Duration
	// downUntil is the time until which it admits no requests.
	downUntil time.Duration
	// failsUntil is the time until which all its requests fail while it reports that it is healthy.
	failsUntil time.Duration
	// recent holds the times of the requests of the last second.
	recent []time.Duration
	// running holds the runs that a crash ends.
	running map[*simulatedRun]bool
}

// admits reports whether nodes may send to the endpoint.
func (e *simulatedEndpoint) admits(now time.Duration) bool {
	return now >= e.startedAt && now >= e.downUntil
}

// load counts a request and returns the number of requests in the last second.
func (e *simulatedEndpoint) load(now time.Duration) float64 {
	for len(e.recent) > 0 && e.recent[0] < now-time.Second {
		e.recent = e.recent[1:]
	}
	e.recent = append(e.recent, now)
	return float64(len(e.recent))
}
