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

func (m syncReplyMessage) apply(a *Agent) {
	lacking, urgent := a.view.FinishSync(time.Now(), m.reply)
	a.urgent = urgent || a.urgent
	if len(lacking) > 0 {
		a.transport.Push(m.address, membership.Message{From: a.view.Self().ID, Updates: lacking})
	}
}
