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
	othersWait := d.queue.OthersWait(now)
	if d.queue.Len() == 0 && !othersWait && !d.pressurePublished {
		return
	}
	p := d.queue.Pressure(now)
	waits := othersWait || !p.IsZero()
	if !waits {
		// Plain calls may wait, but not for engines.
		if p = (overload.Pressure{}); !d.pressurePublished {
			return
		}
	}
	d.pressureAt, d.pressurePublished = now, waits
	d.ownPressure.Publish(p)
}
