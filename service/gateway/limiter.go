package gateway

import (
	"context"

	"azuredyke.dev/azuredyke/decision/limit"
)

// Limiter keeps workspaces within their limits.
type Limiter interface {
	// Start admits or refuses a request. An admitted request must be ended with End.
	Start(ctx context.Context, workspace string, promptTokens int) (limit.Decision, error)
	End(ctx context.Context, workspace string, outputTokens int) error
}
