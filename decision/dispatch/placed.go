package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/decision/fleet"
)

// Placed is the answer to a request that may be sent.
type Placed struct {
	// Run numbers the run at this node until its release.
	Run      uint64
	Endpoint fleet.Endpoint
	// Backup has no ID when there is none.
	Backup fleet.Endpoint
	// InFlight is the number of requests that ran on the endpoint by this node's knowledge.
	InFlight int
	// Prefill is the number of prompt tokens that were computed there before it.
	Prefill int
	// LoadAge is how old the knowledge of the other nodes' load was.
	LoadAge time.Duration
}
