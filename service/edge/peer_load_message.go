package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// peerLoadMessage carries what another node has in flight.
type peerLoadMessage struct {
	node  string
	loads []dispatch.Load
}

func (m peerLoadMessage) apply(d *dispatcher) { d.table.SetPeer(time.Now(), m.node, m.loads) }
