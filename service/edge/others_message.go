package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// othersMessage carries what all other nodes have in flight together.
type othersMessage struct {
	loads []dispatch.Load
}

func (m othersMessage) apply(d *dispatcher) { d.table.SetOthers(time.Now(), m.loads) }
