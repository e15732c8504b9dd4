package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// othersLoadMessage carries the total load of all other nodes.
type othersLoadMessage struct {
	loads []dispatch.Load
}

func (m othersLoadMessage) apply(d *dispatcher) { d.table.SetOthersLoad(time.Now(), m.loads) }
