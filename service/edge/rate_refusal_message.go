package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/fleet"
)

// rateRefusalMessage reports that no owner of an endpoint's budget granted a request.
type rateRefusalMessage struct {
	endpoint   fleet.Endpoint
	retryAfter time.Duration
	// repeat is set if the request would have been a repeat.
	repeat bool
}

func (m rateRefusalMessage) apply(d *dispatcher) {
	d.table.RecordRateRefusal(time.Now(), &m.endpoint.Endpoint, m.retryAfter, m.repeat)
}
