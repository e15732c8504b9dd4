package edge

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"

	"azuredyke.dev/azuredyke/common/exchange"
)

// lateRead is the time for which a full buffer may stop the reader without the next event counting as late. It is far below the time
// between two events.
const lateRead = 2 * time.Millisecond

// eventReader is the task that reads the events of one stream ahead of the caller.
type eventReader struct {
	items chan streamItem
	bound readAhead
	// ahead holds the bytes of the events that were read and not yet released.
	ahead *semaphore.Weighted
}

// readStream starts the task, which ends with the stream or ctx.
func readStream(ctx context.Context, stream exchange.Stream, bound readAhead) *eventReader {
	r := &eventReader{items: make(chan streamItem, bound.events), bound: bound, ahead: semaphore.NewWeighted(bound.bytes)}
	go r.run(ctx, stream)
	return r
}

func (r *eventReader) run(ctx context.Context, stream exchange.Stream) {
	late := false
	for {
		event, err := stream.Next()
		item := streamItem{event: event, err: err, readAt: time.Now(), late: late}
		if r.ahead.Acquire(ctx, r.bound.weight(item)) != nil {
			return
		}
		select {
		case r.items <- item:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
		late = time.Since(item.readAt) > lateRead
	}
}

// release makes room for further events after an item was received from items.
func (r *eventReader) release(item streamItem) { r.ahead.Release(r.bound.weight(item)) }
