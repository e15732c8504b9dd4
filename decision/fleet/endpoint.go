package fleet

import (
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
)

// Endpoint is an endpoint in a Snapshot.
type Endpoint struct {
	catalog.Endpoint
	// ColdUntil is the end of the endpoint's cold start, according to the endpoint's entry.
	ColdUntil time.Time
}
