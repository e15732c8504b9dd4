package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// hold adds a request to the queue of those that wait for room, which may place it at once.
func (d *dispatcher) hold(now time.Time, m placeMessage) {
	m.held.Request = m.request
	d.held[m.held] = m
	d.answerHeld(d.queue.Offer(now, m.held))
}

// scanHeld tries to place the requests that wait for room.
func (d *dispatcher) scanHeld(now time.Time) {
	if len(d.held) > 0 {
		d.answerHeld(d.queue.Scan(now, d.dropGone))
	}
}

// dropGone drops a request whose caller is gone, and reports whether it did.
func (d *dispatcher) dropGone(h *dispatch.HeldRequest) bool {
	select {
	case <-d.held[h].callerGone:
		delete(d.held, h)
		return true
	default:
		return false
	}
}

// answerHeld answers the requests that wait no longer.
func (d *dispatcher) answerHeld(decisions []dispatch.Decision) {
	for _, decision := range decisions {
		m := d.held[decision.Held]
		delete(d.held, decision.Held)
		d.answer(m, decision.Placement, decision.Refusal, decision.RetryAfter)
	}
}
