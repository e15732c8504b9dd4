package edge

// beganMessage says that the first event of a run has arrived.
type beganMessage struct {
	run uint64
}

func (m beganMessage) apply(d *dispatcher) { d.table.Began(m.run) }
