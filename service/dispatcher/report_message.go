package dispatcher

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// reportMessage tells what happened to a grant.
type reportMessage struct {
	report message.GrantReport
}

func (m reportMessage) apply(c *Cell) { c.decisions.ApplyReport(time.Now(), m.report) }
