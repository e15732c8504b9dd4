package dispatcher

import "time"

// loadFailedMessage tells that the load report of an endpoint could not be read.
type loadFailedMessage struct {
	endpoint string
}

func (m loadFailedMessage) apply(c *Cell) { c.decisions.LoadFailed(time.Now(), m.endpoint) }
