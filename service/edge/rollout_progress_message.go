package edge

import "azuredyke.dev/azuredyke/decision/dispatch"

// rolloutProgressMessage asks how far the placement has followed the plans of roll-outs.
type rolloutProgressMessage struct {
	reply chan<- []dispatch.RolloutProgress
}

func (m rolloutProgressMessage) apply(d *dispatcher) { m.reply <- d.table.RolloutProgress() }
