package membership

import "azuredyke.dev/azuredyke/decision/membership"

// syncMessage is a full exchange that another member started. The reply channel must have room for one reply.
type syncMessage struct {
	request membership.SyncRequest
	reply   chan<- membership.SyncReply
}

func (m syncMessage) apply(a *Agent) { m.reply <- a.view.SyncReply(m.request) }
