package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// othersLoadMessage carries the others' load of this node.
type othersLoadMessage struct {
	loads []dispatch.Load
	// complete is set if the endpoints that are not listed have no load. Otherwise their load has not changed.
	complete bool
}

func (m othersLoadMessage) apply(d *dispatcher) {
	if m.complete {
		d.table.SetOthersLoad(time.Now(), m.loads)
	} else {
		d.table.UpdateOthersLoad(time.Now(), m.loads)
	}
	if d.table.OrdersAdmission() {
		d.retryWaiting()
	}
}
