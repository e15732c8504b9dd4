package edge

import "azuredyke.dev/azuredyke/decision/dispatch"

// paramsMessage replaces the parameters of placement.
type paramsMessage struct {
	params dispatch.Params
}

func (m paramsMessage) apply(d *dispatcher) { d.table.SetParams(m.params) }
