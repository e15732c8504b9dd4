package edge

import "azuredyke.dev/azuredyke/decision/dispatch"

// paramsMessage puts other bounds in force.
type paramsMessage struct {
	params dispatch.Params
}

func (m paramsMessage) apply(d *dispatcher) { d.table.SetParams(m.params) }
