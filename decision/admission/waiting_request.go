package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// WaitingRequest is one request in the queue of a cell.
type WaitingRequest struct {
	Request message.PlaceRequest
	// Ticket identifies the request to the caller of this package.
	Ticket uint64
	// Deadline is when the request is refused if it has not been granted by then.
	Deadline time.Time
	// Since is when the cell received the request. The wait since then is added to the grant's time to start.
	Since time.Time
}
