package edge

import "maps"

// engineLeavesMessage says that an engine itself reported that it leaves.
type engineLeavesMessage struct {
	id string
}

func (m engineLeavesMessage) apply(d *dispatcher) {
	d.table.Leaves(m.id)
	maps.DeleteFunc(d.leaving, func(_ uint64, r *leavingRun) bool {
		return !r.tell(func(service, endpoint string, copies bool) bool {
			return endpoint != m.id && d.stays(service, endpoint, copies)
		})
	})
}
