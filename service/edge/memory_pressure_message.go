package edge

import "time"

// memoryPressureMessage asks whether the engines of a service have too little free memory for standby copies.
type memoryPressureMessage struct {
	service string
	reply   chan<- bool
}

func (m memoryPressureMessage) apply(d *dispatcher) {
	m.reply <- d.table.UnderMemoryPressure(time.Now(), m.service)
}
