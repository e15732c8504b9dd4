package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// measurementMessage reports the times that were measured of a run.
type measurementMessage struct {
	run         uint64
	measurement dispatch.Measurement
}

func (m measurementMessage) apply(d *dispatcher) {
	d.table.RecordMeasurement(time.Now(), m.run, m.measurement)
}
