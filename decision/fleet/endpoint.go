package fleet

import (
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
)

// Endpoint is an endpoint of a snapshot.
type Endpoint struct {
	catalog.Endpoint
	// ColdUntil is when the endpoint's cold start ends, by its own entry.
	ColdUntil time.Time
}
