package membership

import "azuredyke.dev/azuredyke/decision/membership"

// leaveCount is the number of members that are told directly that this node leaves.
const leaveCount = 8

// leaveMessage marks this node as left, and replies with the messages that say so. The reply channel has room for one
// reply.
type leaveMessage struct {
	reply chan<- map[string]membership.Message
}

func (m leaveMessage) apply(t *Task) {
	t.view.Leave()
	messages := map[string]membership.Message{}
	for _, target := range t.view.Others(leaveCount) {
		messages[target.Address] = t.view.Message(target.ID)
	}
	m.reply <- messages
}
