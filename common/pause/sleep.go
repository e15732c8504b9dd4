// Package pause provides a sleep that ends early when a context ends.
package pause

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, and reports whether d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
