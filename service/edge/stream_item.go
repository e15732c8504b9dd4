package edge

import (
	"time"

	"azuredyke.dev/azuredyke/common/exchange"
)

// streamItem is an event of a stream or the error that ended the stream.
type streamItem struct {
	event exchange.Event
	// err is io.EOF after the last event of a complete stream.
	err error
	// readAt is the time at which the event was read from the endpoint. late is set if reading stopped before it for the caller.
	readAt time.Time
	late   bool
}

// weight returns the number of bytes that the item counts against readAheadBytes. An event that is larger than the bound
// counts as large as the bound, so that it is read alone.
func (i streamItem) weight() int64 { return int64(min(len(i.event.Raw), readAheadBytes)) }
