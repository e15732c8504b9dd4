package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/overload"
)

// publishPressure publishes what waits at this node, and the usage of the workspaces while something waits at any node. Once nothing
// waits, it publishes that.
func (d *dispatcher) publishPressure(now time.Time) {
	if now.Sub(d.pressureAt) < scanInterval {
		return
	}
	waits := d.queue.Len() > 0 || d.queue.OthersWait(now)
	if !waits && !d.pressurePublished {
		return
	}
	var p overload.Pressure
	if waits {
		p = d.queue.Pressure(now)
	}
	d.pressureAt, d.pressurePublished = now, waits
	d.ownPressure.Publish(p)
}
