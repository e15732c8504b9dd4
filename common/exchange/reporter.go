package exchange

import "context"

// Reporter asks an endpoint for its own state.
type Reporter interface {
	Report(ctx context.Context, address string) (Report, error)
}
