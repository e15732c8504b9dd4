package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// othersLoadMessage carries the others' load of this node.
type othersLoadMessage struct {
	loads []dispatch.Load
}

func (m othersLoadMessage) apply(d *dispatcher) { d.table.SetOthersLoad(time.Now(), m.loads) }
