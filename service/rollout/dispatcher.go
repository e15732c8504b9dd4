package rollout

import (
	"context"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// Dispatcher is the task that places the requests of this node.
type Dispatcher interface {
	// Progress returns how far the placement has followed the plans. It returns an error if ctx ends first.
	Progress(ctx context.Context) ([]dispatch.RolloutProgress, error)
	// SetStopped sets whether the target of a service's roll-out gets nothing. It must not block; a lost call is repeated.
	SetStopped(service string, orderRevision int64, stopped bool)
}
