package dispatcher

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// loadMessage carries the load report of an endpoint. The figures of the report were measured at notBefore or later.
type loadMessage struct {
	notBefore time.Time
	report    message.LoadReport
}

func (m loadMessage) apply(c *Cell) { c.admission.ApplyLoad(time.Now(), m.notBefore, m.report) }
