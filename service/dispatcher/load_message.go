package dispatcher

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// loadMessage carries the load report of an endpoint.
type loadMessage struct {
	load message.LoadReport
}

func (m loadMessage) apply(c *Cell) { c.decisions.ApplyLoad(time.Now(), m.load) }
