package peer

// answeredMessage says that the handler of a request has ended.
type answeredMessage struct {
	id uint64
}

func (m answeredMessage) apply(l *link) { delete(l.running, m.id) }
