package admission

import "azuredyke.dev/azuredyke/common/message"

// endpoint is what a cell knows about one endpoint.
type endpoint struct {
	message.Endpoint
	state State
	limit int
	// grants holds the open grants by number.
	grants map[uint64]message.PlaceRequest
	// completed counts the requests finished at the present limit.
	completed int
	load      message.LoadReport
}

// inFlight returns the requests that the endpoint may be running for this owner.
func (e *endpoint) inFlight() int { return len(e.grants) }

// admits reports whether one more request may start.
func (e *endpoint) admits() bool {
	switch e.state {
	case Cold, Warming, Warm:
		return e.inFlight() < e.limit
	default:
		return false
	}
}
