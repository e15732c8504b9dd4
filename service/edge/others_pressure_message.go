package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/overload"
)

// othersPressureMessage carries the pressure of the other nodes. A lost message is replaced by the next one.
type othersPressureMessage struct {
	pressure overload.Pressure
}

func (m othersPressureMessage) apply(d *dispatcher) { d.queue.SetOthers(time.Now(), m.pressure) }
