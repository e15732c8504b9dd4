package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// placeMessage asks for an endpoint.
type placeMessage struct {
	request dispatch.Request
	// first is set for a request's first arrival, which counts for the retry budget.
	first bool
	// priority orders the requests that wait; 0 is the most urgent.
	priority int
	// until is how long the request may wait for an endpoint.
	until time.Time
	// leaving receives a value when the endpoint or that of the copy starts to leave while the run is open.
	leaving chan<- departure
	reply   chan<- placeReply
	// gone is closed when the caller has left.
	gone <-chan struct{}
}

func (m placeMessage) apply(d *dispatcher) {
	now := time.Now()
	if m.first {
		d.table.Requested(now, m.request.Service)
	}
	if !d.try(now, m) {
		d.wait(now, m)
	}
}
