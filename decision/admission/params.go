package admission

import "time"

// Params configures a cell.
type Params struct {
	// StartWithin is how long a grant is valid after the gateway asked for it.
	StartWithin time.Duration
	// ColdLimit and MaxConcurrency bound the requests in flight on one endpoint.
	ColdLimit      int
	MaxConcurrency int
	// MaxQueue bounds the waiting requests.
	MaxQueue int
}
