package membership

import "azuredyke.dev/azuredyke/decision/membership"

// leaveFanout is the number of members that this node notifies directly when it leaves.
const leaveFanout = 8

// leaveMessage marks this node as left. The reply maps the addresses of members to the messages that announce the leave.
// The reply channel must have room for one reply.
type leaveMessage struct {
	reply chan<- map[string]membership.Message
}

func (m leaveMessage) apply(a *Agent) {
	a.view.Leave()
	messages := map[string]membership.Message{}
	for _, target := range a.view.RandomMembers(leaveFanout) {
		messages[target.Address] = a.view.Message(target.ID)
	}
	m.reply <- messages
}
