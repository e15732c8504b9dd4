package peer

import "time"

// callMessage sends a request. The reply channel needs a buffer of one.
type callMessage struct {
	kind     string
	body     []byte
	deadline time.Time
	state    *callState
	reply    chan<- envelope
	// id receives the correlation id once the request is registered. The channel needs a buffer of one.
	id chan<- uint64
}

func (m callMessage) apply(l *link) {
	if m.state.isAbandoned() {
		return
	}
	l.nextID++
	id := l.nextID
	e := envelope{Kind: m.kind, ID: id, Body: m.body}
	if !l.enqueueFrame(frame{envelope: e, state: m.state, deadline: m.deadline}) {
		m.reply <- envelope{Reply: true, ID: id, Status: statusBusy, Detail: "the link's queue is full"}
		return
	}
	l.pending[id] = pendingCall{reply: m.reply, deadline: m.deadline}
	m.id <- id
	l.expectAnswer()
}
