package dispatcher

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/admission"
)

// endpointsMessage replaces the endpoints and the parameters of a cell.
type endpointsMessage struct {
	params    admission.Params
	endpoints []message.Endpoint
	leaving   map[string]bool
}

func (m endpointsMessage) apply(c *Cell) {
	c.admission.SetParams(m.params)
	c.admission.SetEndpoints(time.Now(), m.endpoints, m.leaving)
	c.updatePollers()
}
