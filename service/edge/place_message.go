package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// placeMessage asks for an endpoint.
type placeMessage struct {
	request dispatch.Request
	// id is the id of the request, for the log.
	id string
	// first is set for the first attempt of a request, which adds to the retry budget.
	first bool
	// priority orders the waiting requests; 0 is the most urgent.
	priority int
	// waitUntil is the time until which the request may wait for an endpoint.
	waitUntil time.Time
	// held is the request as it waits where ordered admission is on; nil for a run that continues, which does not wait.
	held *dispatch.HeldRequest
	// leaving receives a departure when the run's endpoint or its backup starts to leave while the run is open.
	leaving chan<- departure
	reply   chan<- placeReply
	// callerGone is closed when the caller has disconnected.
	callerGone <-chan struct{}
}

func (m placeMessage) apply(d *dispatcher) {
	now := time.Now()
	if m.first {
		d.table.RecordRequest(now, m.request.Service)
	}
	if m.held != nil && d.table.OrdersAdmission() {
		d.hold(now, m)
		return
	}
	if !d.tryPlace(now, m) {
		d.enqueue(now, m)
	}
}

// isGone reports whether the caller has disconnected or the deadline has passed.
func (m *placeMessage) isGone() bool {
	select {
	case <-m.callerGone:
		return true
	default:
		return false
	}
}

// drop answers a request that is gone, so that the task that waits for the reply ends.
func (m *placeMessage) drop() { m.reply <- placeReply{refusal: dispatch.CallerGone} }
