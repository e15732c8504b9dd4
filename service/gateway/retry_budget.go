package gateway

import (
	"context"

	"azuredyke.dev/azuredyke/service/retries"
)

// RetryBudget bounds the retries.
type RetryBudget interface {
	// Allow reports whether one retry may be made now, and charges it.
	Allow(ctx context.Context, key retries.Key) bool
	Succeeded(key retries.Key)
}
