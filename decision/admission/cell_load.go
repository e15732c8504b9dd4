package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// ApplyLoad takes a load report into account. Its figures were taken at the given moment or later: the time before the
// report was asked for, less its age.
func (c *Cell) ApplyLoad(now, taken time.Time, load message.LoadReport) {
	e := c.byID[load.Endpoint]
	if e == nil {
		return
	}
	c.changed = true
	before := e.load
	open := len(e.grants)
	e.applyLoad(now, taken, load, c.activeFrom, c.params)
	if e.load.Incarnation != before.Incarnation {
		c.prefixes.Forget(e.candidate.Slot)
	} else {
		c.counts.Preemptions += max(0, e.load.PreemptionsTotal-before.PreemptionsTotal)
	}
	if len(e.grants) < open {
		c.counts.Released += int64(open - len(e.grants))
		c.forgetReleased()
	}
	if e.absent {
		c.forgetGone(now)
	}
}

// LoadFailed notes that an endpoint's load report could not be read.
func (c *Cell) LoadFailed(now time.Time, id string) {
	e := c.byID[id]
	if e == nil {
		return
	}
	e.loadFailed(now, c.params)
	if e.absent {
		c.forgetGone(now)
	}
}

// forgetReleased removes the numbers of grants that a load report released.
func (c *Cell) forgetReleased() {
	for number, e := range c.byGrant {
		if _, ok := e.grants[number]; !ok {
			delete(c.byGrant, number)
		}
	}
}
