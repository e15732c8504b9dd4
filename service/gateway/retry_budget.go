package gateway

import (
	"context"

	"azuredyke.dev/azuredyke/service/retries"
)

// RetryBudget limits the number of retries for each service and workspace.
type RetryBudget interface {
	// Allow reports whether one retry may be made now, and charges it.
	Allow(ctx context.Context, key retries.Key) bool
	// RecordSuccess records a success, which allows further retries.
	RecordSuccess(key retries.Key)
}
