package edge

import "azuredyke.dev/azuredyke/decision/fleet"

// busyEnginesMessage asks for the engines that are running requests sent by this node.
type busyEnginesMessage struct {
	// backedUp includes the engines whose runs all have a backup.
	backedUp bool
	reply    chan<- []fleet.Endpoint
}

func (m busyEnginesMessage) apply(d *dispatcher) {
	if m.backedUp {
		m.reply <- d.table.BusyEngines()
		return
	}
	m.reply <- d.table.EnginesWithoutBackup()
}
