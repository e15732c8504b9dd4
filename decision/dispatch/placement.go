package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/rollout"
)

// Placement is the placement of a request that may be sent.
type Placement struct {
	// Run is the number of the run, unique on this node.
	Run      uint64
	Endpoint fleet.Endpoint
	// Backup is the endpoint that holds a copy of the run's memory; its ID is empty if there is none.
	Backup fleet.Endpoint
	// RateLimited is set if the endpoint limits the requests of all nodes together, to RateLimit a second. The request may then be sent
	// only once the owner of the endpoint's budget has granted it.
	RateLimited bool
	RateLimit   float64
	// InFlight is the number of requests on the endpoint before this one, by the load figures of this node.
	InFlight int
	// Prefill is the number of prompt tokens on the endpoint that are computed before those of this request.
	Prefill int
	// BySpeed is set if endpoints are chosen by their speed, so that the times of the run are to be measured. Slowdown is then the
	// expected slowdown of the endpoint.
	BySpeed  bool
	Slowdown float64
	// CachedTokens is the expected number of prompt tokens that the endpoint has cached.
	CachedTokens float64
	// LoadAge is the age of the last report of the other nodes' load.
	LoadAge time.Duration
	// Rollout is the run's part in the roll-out of its service; nil without an order.
	Rollout *RolloutRun
}

// Group returns the run's group in the roll-out of its service.
func (p *Placement) Group() rollout.Group {
	if p.Rollout == nil {
		return rollout.OtherGroup
	}
	return p.Rollout.Group
}
