package edge

// busyEnginesMessage asks for the engines that are running requests sent by this node.
type busyEnginesMessage struct {
	reply chan<- []busyEngine
}

func (m busyEnginesMessage) apply(d *dispatcher) {
	var engines []busyEngine
	for _, e := range d.table.BusyEngines() {
		engines = append(engines, busyEngine{id: e.ID, address: e.Address})
	}
	m.reply <- engines
}
