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
