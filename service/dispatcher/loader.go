package dispatcher

import (
	"context"

	"azuredyke.dev/azuredyke/common/message"
)

// Loader reads the load report of an endpoint.
type Loader interface {
	ReadLoad(ctx context.Context, e message.Endpoint) (message.LoadReport, error)
}
