package membership

import "azuredyke.dev/azuredyke/decision/membership"

// syncMessage is a full exchange that another member started. The reply channel must have room for one reply.
type syncMessage struct {
	request membership.SyncRequest
	reply   chan<- membership.SyncReply
}

func (m syncMessage) apply(t *Agent) { m.reply <- t.view.SyncReply(m.request) }
