package peer

// forgetMessage says that the caller of a request has given up. The other side is told, so that it stops the work.
type forgetMessage struct {
	id uint64
}

func (m forgetMessage) apply(l *link) {
	if _, ok := l.pending[m.id]; !ok {
		return
	}
	delete(l.pending, m.id)
	l.write(frame{envelope: envelope{Kind: kindCancel, ID: m.id}})
}
