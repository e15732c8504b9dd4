package dispatcher

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// abandonMessage tells that the gateway no longer waits for a reply. If the reply was a grant, it returns unused.
type abandonMessage struct {
	ticket uint64
	reply  <-chan message.PlaceReply
}

func (m abandonMessage) apply(c *Cell) {
	if _, ok := c.waiting[m.ticket]; ok {
		delete(c.waiting, m.ticket)
		c.decisions.Cancel(m.ticket)
		return
	}
	select {
	case r := <-m.reply:
		if r.Grant != nil {
			c.decisions.ApplyReport(time.Now(), message.GrantReport{
				Cell: c.id, Fence: c.fence, Number: r.Grant.Number, Event: message.GrantUnused,
			})
		}
	default:
	}
}
