package dispatcher

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/admission"
)

// placeMessage asks for a grant. The reply channel has room for one reply.
type placeMessage struct {
	ctx     context.Context
	request message.PlaceRequest
	reply   chan<- message.PlaceReply
}

func (m placeMessage) apply(c *Cell) {
	c.nextTicket++
	ticket := c.nextTicket
	now := time.Now()
	refused := c.decisions.Enqueue(now, admission.Waiting{
		Request: m.request, Ticket: ticket, Deadline: now.Add(m.request.MaxWait),
	})
	if refused != nil {
		m.reply <- refused.Reply
		return
	}
	c.waiting[ticket] = m
	context.AfterFunc(m.ctx, func() { c.messages.TrySend(cancelMessage{ticket: ticket}) })
}
