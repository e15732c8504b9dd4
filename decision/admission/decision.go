package admission

import "azuredyke.dev/azuredyke/common/message"

// Decision answers one waiting request.
type Decision struct {
	Ticket uint64
	Reply  message.PlaceReply
}
