package edge

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"

	"azuredyke.dev/azuredyke/common/exchange"
)

const (
	// readAheadEvents and readAheadBytes bound the events that are read ahead of a slow caller.
	readAheadEvents = 64
	readAheadBytes  = 32 << 10
	// lateRead is the time for which a full buffer may stop the reader without the next event counting as late. It is far below the
	// time between two events.
	lateRead = 2 * time.Millisecond
)

// eventReader is the task that reads the events of one stream ahead of the caller.
type eventReader struct {
	items chan streamItem
	// ahead holds the bytes of the events that were read and not yet released.
	ahead *semaphore.Weighted
}

// readStream starts the task, which ends with the stream or ctx.
func readStream(ctx context.Context, stream exchange.Stream) *eventReader {
	r := &eventReader{items: make(chan streamItem, readAheadEvents), ahead: semaphore.NewWeighted(readAheadBytes)}
	go r.run(ctx, stream)
	return r
}

func (r *eventReader) run(ctx context.Context, stream exchange.Stream) {
	late := false
	for {
		event, err := stream.Next()
		item := streamItem{event: event, err: err, readAt: time.Now(), late: late}
		if r.ahead.Acquire(ctx, item.weight()) != nil {
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
func (r *eventReader) release(item streamItem) { r.ahead.Release(item.weight()) }
