package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// reservationMessage asks whether a run that was placed earlier, and has not been sent, may be sent now.
type reservationMessage struct {
	run   uint64
	reply chan<- dispatch.Reservation
}

func (m reservationMessage) apply(d *dispatcher) {
	m.reply <- d.table.CheckReservation(time.Now(), m.run)
}
