package peer

// noticeMessage sends a notice, which has no reply.
type noticeMessage struct {
	kind string
	body []byte
}

func (m noticeMessage) apply(l *link) {
	if !l.enqueueFrame(frame{envelope: envelope{Kind: m.kind, Body: m.body}}) {
		l.hub.noticesDropped.Inc(1)
		return
	}
	l.expectAnswer()
}
