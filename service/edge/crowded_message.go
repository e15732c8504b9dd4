package edge

import "time"

// crowdedMessage asks whether the engines of a service have no memory to spare for copies.
type crowdedMessage struct {
	service string
	reply   chan<- bool
}

func (m crowdedMessage) apply(d *dispatcher) { m.reply <- d.table.Crowded(time.Now(), m.service) }
