package fleet

import (
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
)

// departure is an endpoint whose entry was removed.
type departure struct {
	endpoint catalog.Endpoint
	// revision is the revision of the removal.
	revision int64
	at       time.Time
}
