package edge

import "time"

// firstEventMessage reports the arrival of the first event of a run.
type firstEventMessage struct {
	run uint64
}

func (m firstEventMessage) apply(d *dispatcher) {
	d.table.ObservePrefill(time.Now(), m.run)
	d.table.RecordFirstEvent(m.run)
}
