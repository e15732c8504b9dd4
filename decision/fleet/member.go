package fleet

import (
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
)

// member is what is known of one endpoint.
type member struct {
	endpoint  catalog.Endpoint
	coldUntil time.Time
	// lapsed is set while the entry is missing for a reason that may be an outage of the service.
	lapsed bool
}
