package dispatcher

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/admission"
)

// placeMessage requests a grant. The reply channel needs a buffer of one.
type placeMessage struct {
	ticket  uint64
	request message.PlaceRequest
	reply   chan message.PlaceReply
}

func (m placeMessage) apply(c *Cell) {
	now := time.Now()
	refused := c.admission.Enqueue(now, admission.WaitingRequest{
		Request: m.request, Ticket: m.ticket, Deadline: now.Add(m.request.MaxWait),
	})
	if refused != nil {
		c.sendReply(m, refused.Reply)
		return
	}
	c.waiting[m.ticket] = m
}
