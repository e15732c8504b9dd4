package gateway

import (
	"context"

	"azuredyke.dev/azuredyke/decision/limit"
)

// Limiter enforces the limits of workspaces.
type Limiter interface {
	// Start admits or refuses a request. An admitted request must be ended with End.
	Start(ctx context.Context, workspace string, promptTokens int) (limit.Decision, error)
	// End records the end of an admitted request.
	End(ctx context.Context, workspace string, outputTokens int) error
}
