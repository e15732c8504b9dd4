package exchange

import "context"

// Liveness tells whether the process of an endpoint has ended.
type Liveness interface {
	// HasEnded reports whether no process listens at the address. It returns false if that is not certain, for example because
	// the endpoint cannot be reached.
	HasEnded(ctx context.Context, address string) bool
}
