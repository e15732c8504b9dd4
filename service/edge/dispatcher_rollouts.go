package edge

import (
	"maps"

	"azuredyke.dev/azuredyke/common/bootclock"
)

// updateStateAge tells the table how old the copy of the store is, on which the use of a roll-out's target depends.
func (d *dispatcher) updateStateAge() {
	if len(d.snapshot.Orders) > 0 || len(d.snapshot.Plans) > 0 {
		d.table.SetStateAge(bootclock.Now().Sub(d.cluster.Load().ConfirmedAt))
	}
}

// notifyDepartures notifies the sessions whose endpoints are leaving, or may no longer be used because of a roll-out.
func (d *dispatcher) notifyDepartures() {
	maps.DeleteFunc(d.leaving, func(_ uint64, r *leavingRun) bool { return !r.notifyDepartures(d.available) })
}
