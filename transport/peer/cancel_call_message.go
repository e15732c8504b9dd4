package peer

// cancelCallMessage removes a call whose caller has given up, and sends a cancellation that ends the handler on the other
// side.
type cancelCallMessage struct {
	id uint64
}

func (m cancelCallMessage) apply(l *link) {
	if _, ok := l.pending[m.id]; !ok {
		return
	}
	delete(l.pending, m.id)
	l.enqueueFrame(frame{envelope: envelope{Kind: kindCancel, ID: m.id}})
}
