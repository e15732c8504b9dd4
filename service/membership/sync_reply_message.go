package membership

import (
	"time"

	"azuredyke.dev/azuredyke/decision/membership"
)

// syncReplyMessage is the reply to a full exchange that this node started.
type syncReplyMessage struct {
	address string
	reply   membership.SyncReply
}

func (m syncReplyMessage) apply(t *Agent) {
	lacking, urgent := t.view.FinishSync(time.Now(), m.reply)
	t.urgent = urgent || t.urgent
	if len(lacking) > 0 {
		t.transport.Push(m.address, membership.Message{From: t.view.Self().ID, Updates: lacking})
	}
}
