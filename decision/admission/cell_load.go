package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// ApplyLoad updates an endpoint from a load report. The figures of the report were taken at the time taken or later;
// taken is the time just before the report was requested, less the age of the report.
func (c *Cell) ApplyLoad(now, taken time.Time, load message.LoadReport) {
	e := c.endpointByID[load.Endpoint]
	if e == nil {
		return
	}
	c.scanPending = true
	before := e.load
	open := len(e.grants)
	e.applyLoad(now, taken, load, c.activeFrom, c.params)
	if e.load.Incarnation != before.Incarnation {
		c.prefixes.RemoveSlot(e.candidate.Slot)
	} else {
		c.counts.Preemptions += max(0, e.load.PreemptionsTotal-before.PreemptionsTotal)
	}
	if len(e.grants) < open {
		c.counts.Released += int64(open - len(e.grants))
		c.unindexReleasedGrants()
	}
	if e.delisted {
		c.removeGoneEndpoints(now)
	}
}

// RecordLoadFailure records that an endpoint's load report could not be read.
func (c *Cell) RecordLoadFailure(now time.Time, id string) {
	e := c.endpointByID[id]
	if e == nil {
		return
	}
	e.recordLoadFailure(now, c.params)
	if e.delisted {
		c.removeGoneEndpoints(now)
	}
}

// unindexReleasedGrants removes the grants that a load report released from the index of open grants.
func (c *Cell) unindexReleasedGrants() {
	for number, e := range c.endpointByGrant {
		if _, ok := e.grants[number]; !ok {
			delete(c.endpointByGrant, number)
		}
	}
}
