package edge

import "azuredyke.dev/azuredyke/common/exchange"

// streamItem is an event of a stream or the error that ended the stream.
type streamItem struct {
	event exchange.Event
	// err is io.EOF after the last event of a complete stream.
	err error
}
