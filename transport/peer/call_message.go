package peer

import "time"

// callMessage sends a request. The reply channel needs a buffer of one.
type callMessage struct {
	kind     string
	body     []byte
	deadline time.Time
	state    *callState
	reply    chan<- envelope
	// id receives the correlation id before the request is sent. The channel needs a buffer of one.
	id chan<- uint64
}

func (m callMessage) apply(l *link) {
	if m.state.isAbandoned() {
		return
	}
	l.nextID++
	id := l.nextID
	// The caller needs the id before the frame can be written: once the handler runs, the caller may cancel the call.
	m.id <- id
	e := envelope{Kind: m.kind, ID: id, Body: m.body}
	if !l.enqueueFrame(frame{envelope: e, state: m.state, deadline: m.deadline}) {
		m.reply <- envelope{Reply: true, ID: id, Status: statusBusy, Detail: "the link's queue is full"}
		return
	}
	l.pending[id] = pendingCall{reply: m.reply, deadline: m.deadline}
	l.expectAnswer()
}
