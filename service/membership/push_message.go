package membership

import (
	"time"

	"azuredyke.dev/azuredyke/decision/membership"
)

// pushMessage holds changes that another member pushed.
type pushMessage struct {
	message membership.Message
}

func (m pushMessage) apply(a *Agent) {
	a.urgent = a.view.Receive(time.Now(), m.message) || a.urgent
}
