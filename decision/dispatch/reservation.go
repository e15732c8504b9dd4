package dispatch

import "time"

// Reservation describes whether a run that was placed earlier, and has not been sent, may be sent now.
type Reservation struct {
	// Obstacle is what prevents that; empty if the run may be sent.
	Obstacle Obstacle
	// RateLimited is set if the owner of the endpoint's budget must grant the request first, and RateLimit is the stated rate.
	RateLimited bool
	RateLimit   float64
}

// CheckReservation returns the state of a reservation, and counts the send if nothing prevents it. Slots and memory are already reserved.
// An endpoint that is avoided after a failure may be used: the copy of the run's memory is there.
func (t *Table) CheckReservation(now time.Time, number uint64) Reservation {
	r := t.runs[number]
	if r == nil || t.endpoints[r.endpoint.ID] != r.endpoint {
		// The endpoint was removed, or started again and has no copy.
		return Reservation{Obstacle: Leaving}
	}
	e := r.endpoint
	limit := &e.statement.rateLimit
	reservation := Reservation{RateLimited: limit.limited, RateLimit: limit.rate}
	reservation.Obstacle = e.lastingObstacle()
	if reservation.Obstacle == "" {
		_, reservation.Obstacle = e.statement.closedUntil(now)
	}
	if reservation.Obstacle == "" && !e.coldLimitAdmits(now, t.nodeStarted, t.params, t.nodes) {
		reservation.Obstacle = ColdLimit
	}
	if reservation.Obstacle == "" {
		e.recordSend(now)
	}
	return reservation
}
