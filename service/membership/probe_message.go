package membership

import (
	"time"

	"azuredyke.dev/azuredyke/decision/membership"
)

// probeMessage is a probe by another member. The reply channel must have room for one reply.
type probeMessage struct {
	message membership.Message
	reply   chan<- membership.Message
}

func (m probeMessage) apply(a *Agent) {
	a.urgent = a.view.Receive(time.Now(), m.message) || a.urgent
	m.reply <- a.view.Message(m.message.From)
}
