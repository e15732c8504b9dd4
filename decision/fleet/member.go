package fleet

import (
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
)

// member is the state of one endpoint.
type member struct {
	endpoint  catalog.Endpoint
	coldUntil time.Time
	// lapsed is set while the entry is missing, possibly because of an outage of the key-value service. unsettled is set until
	// SettleRemovals has decided whether it lapsed or the endpoint has left.
	lapsed, unsettled bool
}
