package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/fleet"
)

// endpointEndMessage reports that the process of an endpoint has ended.
type endpointEndMessage struct {
	endpoint fleet.Endpoint
}

func (m endpointEndMessage) apply(d *dispatcher) { d.table.RecordEnd(time.Now(), &m.endpoint.Endpoint) }
