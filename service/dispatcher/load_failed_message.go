package dispatcher

import "time"

// loadFailedMessage reports that the load report of an endpoint could not be read.
type loadFailedMessage struct {
	endpoint string
}

func (m loadFailedMessage) apply(c *Cell) { c.admission.RecordLoadFailure(time.Now(), m.endpoint) }
