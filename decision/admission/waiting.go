package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// Waiting is one request in the queue of a cell.
type Waiting struct {
	Request message.PlaceRequest
	// Ticket identifies the request to the caller of this package.
	Ticket uint64
	// Deadline is when the request is refused if it has not been granted.
	Deadline time.Time
	// Since is when the cell received the request. A grant's time to start is extended by the wait since then.
	Since time.Time
}
