package edge

import "maps"

// engineLeavingMessage reports that an engine has announced that it is leaving.
type engineLeavingMessage struct {
	id string
}

func (m engineLeavingMessage) apply(d *dispatcher) {
	d.table.MarkLeaving(m.id)
	maps.DeleteFunc(d.leaving, func(_ uint64, r *leavingRun) bool {
		return !r.notifyDepartures(func(service, endpoint string, copies bool) bool {
			return endpoint != m.id && d.available(service, endpoint, copies)
		})
	})
}
