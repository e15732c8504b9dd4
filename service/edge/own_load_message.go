package edge

import "azuredyke.dev/azuredyke/decision/dispatch"

// ownLoadMessage asks for what this node has in flight.
type ownLoadMessage struct {
	reply chan<- []dispatch.Load
}

func (m ownLoadMessage) apply(d *dispatcher) { m.reply <- d.table.Own() }
