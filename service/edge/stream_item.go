package edge

import "azuredyke.dev/azuredyke/common/exchange"

// streamItem is an event of a stream, or its end.
type streamItem struct {
	event exchange.Event
	// err is io.EOF after the end of a whole stream.
	err error
}
