package edge

import (
	"context"

	"azuredyke.dev/azuredyke/common/exchange"
)

// streamBuffer is the number of events that are read ahead of a slow caller.
const streamBuffer = 64

// readStream reads the events of a stream in a task of its own until the stream or ctx ends.
func readStream(ctx context.Context, stream exchange.Stream) <-chan streamItem {
	items := make(chan streamItem, streamBuffer)
	go func() {
		for {
			event, err := stream.Next()
			select {
			case items <- streamItem{event: event, err: err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return items
}
