package dispatcher

// cancelMessage removes a request whose gateway no longer waits.
type cancelMessage struct {
	ticket uint64
}

func (m cancelMessage) apply(c *Cell) {
	if _, ok := c.waiting[m.ticket]; ok {
		delete(c.waiting, m.ticket)
		c.decisions.Cancel(m.ticket)
	}
}
