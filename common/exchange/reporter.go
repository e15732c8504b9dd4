package exchange

import "context"

// Reporter fetches the state that an endpoint reports.
type Reporter interface {
	Report(ctx context.Context, address string) (Report, error)
}
