package gateway

import (
	"context"

	"azuredyke.dev/azuredyke/decision/limit"
)

// Limiter enforces the limits of workspaces.
type Limiter interface {
	// Admit admits or refuses a request. An admitted request must be ended with Release.
	Admit(ctx context.Context, workspace string, promptTokens int) (limit.Decision, error)
	// Release records the end of an admitted request.
	Release(ctx context.Context, workspace string, outputTokens int) error
}
