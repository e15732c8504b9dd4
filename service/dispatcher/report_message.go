package dispatcher

import (
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/message"
)

// reportMessage carries a report on a grant.
type reportMessage struct {
	report message.GrantReport
}

func (m reportMessage) apply(c *Cell) {
	wasStale := c.admission.FenceStale()
	c.admission.ApplyReport(time.Now(), m.report)
	if !wasStale && c.admission.FenceStale() {
		c.log.Warn("endpoint refused the fencing token; the cell admits no more requests",
			zap.String("cell", c.id), zap.Uint64("fence", c.fence))
		c.fenceObserver.FenceRefused(c.id, c.fence)
	}
}
