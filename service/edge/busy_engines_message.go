package edge

import "azuredyke.dev/azuredyke/decision/fleet"

// busyEnginesMessage asks for the engines that are running requests sent by this node.
type busyEnginesMessage struct {
	reply chan<- []fleet.Endpoint
}

func (m busyEnginesMessage) apply(d *dispatcher) {
	m.reply <- d.table.BusyEngines()
}
