package dispatcher

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// abandonMessage withdraws a request whose caller no longer waits for the reply. If the reply was already sent and is a
// grant, the grant is released unused.
type abandonMessage struct {
	ticket uint64
	reply  <-chan message.PlaceReply
}

func (m abandonMessage) apply(c *Cell) {
	if _, ok := c.waiting[m.ticket]; ok {
		delete(c.waiting, m.ticket)
		c.admission.Cancel(m.ticket)
		return
	}
	select {
	case r := <-m.reply:
		if r.Grant != nil {
			c.admission.ApplyReport(time.Now(), message.GrantReport{
				Cell: c.id, Fence: c.fence, Number: r.Grant.Number, Event: message.GrantUnused,
			})
		}
	default:
	}
}
