package dispatcher

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// loadMessage carries the load report of an endpoint. The figures were taken at taken or later.
type loadMessage struct {
	taken time.Time
	load  message.LoadReport
}

func (m loadMessage) apply(c *Cell) { c.decisions.ApplyLoad(time.Now(), m.taken, m.load) }
