package membership

import (
	"time"

	"azuredyke.dev/azuredyke/decision/membership"
)

// pushMessage brings changes from another member.
type pushMessage struct {
	message membership.Message
}

func (m pushMessage) apply(t *Task) {
	t.urgent = t.view.Receive(time.Now(), m.message) || t.urgent
}
