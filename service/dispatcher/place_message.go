package dispatcher

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/admission"
)

// placeMessage asks for a grant. The reply channel has room for one reply.
type placeMessage struct {
	ticket  uint64
	request message.PlaceRequest
	reply   chan message.PlaceReply
}

func (m placeMessage) apply(c *Cell) {
	now := time.Now()
	refused := c.decisions.Enqueue(now, admission.Waiting{
		Request: m.request, Ticket: m.ticket, Deadline: now.Add(m.request.MaxWait),
	})
	if refused != nil {
		c.answer(m, refused.Reply)
		return
	}
	c.waiting[m.ticket] = m
}
