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

func (m probeMessage) apply(t *Agent) {
	t.urgent = t.view.Receive(time.Now(), m.message) || t.urgent
	m.reply <- t.view.Message(m.message.From)
}
