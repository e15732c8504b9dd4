package mailbox

import (
	"context"
	"time"
)

// Serve is the loop of a task that also works at a fixed interval: it passes each message to handle, and the time of each tick to tick,
// until ctx ends.
func Serve[M any](ctx context.Context, b Mailbox[M], interval time.Duration, handle func(M), tick func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-b.messages:
			handle(m)
		case now := <-ticker.C:
			tick(now)
		}
	}
}
