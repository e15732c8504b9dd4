package dispatcher

import (
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/message"
)

// reportMessage tells what happened to a grant.
type reportMessage struct {
	report message.GrantReport
}

func (m reportMessage) apply(c *Cell) {
	before := c.decisions.Stale()
	c.decisions.ApplyReport(time.Now(), m.report)
	if !before && c.decisions.Stale() {
		c.log.Warn("an endpoint refused the fencing token; the cell stops admitting",
			zap.String("cell", c.id), zap.Uint64("fence", c.fence))
		c.fences.StaleFence(c.id, c.fence)
	}
}
