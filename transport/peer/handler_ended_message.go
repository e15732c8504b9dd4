package peer

// handlerEndedMessage reports that the handler of a request has ended.
type handlerEndedMessage struct {
	id uint64
}

func (m handlerEndedMessage) apply(l *link) { delete(l.running, m.id) }
