package peer

import (
	"context"
	"time"
)

// receivedMessage carries a frame from the other side.
type receivedMessage struct {
	envelope envelope
	at       time.Time
}

func (m receivedMessage) apply(l *link) {
	l.lastReceived = m.at
	l.unansweredSince = time.Time{}
	e := m.envelope
	switch {
	case e.Reply:
		if call, ok := l.pending[e.ID]; ok {
			delete(l.pending, e.ID)
			call.reply <- e
		}
	case e.Kind == kindPing:
		l.write(frame{envelope: envelope{Reply: true, ID: e.ID}})
	case e.Kind == kindCancel:
		if cancel, ok := l.running[e.ID]; ok {
			cancel()
		}
	default:
		l.serve(e, m.at)
	}
}

// serve starts the handler of a request or a notice.
func (l *link) serve(e envelope, arrived time.Time) {
	h, ok := l.hub.handlers[e.Kind]
	if !ok || h.notice != (e.ID == 0) {
		l.refuse(e, statusUnknownKind)
		return
	}
	if !h.acquire() {
		l.refuse(e, statusBusy)
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.hub.options.CallTimeout)
	if e.WaitMillis > 0 {
		cancel()
		ctx, cancel = context.WithDeadline(l.ctx, arrived.Add(time.Duration(e.WaitMillis)*time.Millisecond))
	}
	if e.ID != 0 {
		l.running[e.ID] = cancel
	}
	l.hub.handling.Go(func() {
		defer h.release()
		defer cancel()
		l.answer(ctx, h, e)
	})
}

// answer runs the handler and hands its reply to the writer. It waits for room there, which bounds the unsent replies by
// the number of handlers.
func (l *link) answer(ctx context.Context, h *handler, e envelope) {
	reply := envelope{Reply: true, ID: e.ID, Status: statusExpired}
	if ctx.Err() == nil {
		reply.Body, reply.Status, reply.Detail = h.serve(ctx, l.node, e.Body)
	}
	if e.ID == 0 {
		return
	}
	if len(reply.Body) > l.hub.options.MaxFrame-envelopeOverhead {
		reply.Body, reply.Status, reply.Detail = nil, statusFailed, "the reply is larger than a frame"
	}
	select {
	case l.frames <- frame{envelope: reply}:
	case <-l.done:
		return
	}
	_ = l.messages.Send(l.ctx, answeredMessage{id: e.ID})
}

// refuse answers a request that no handler runs.
func (l *link) refuse(e envelope, s status) {
	l.hub.refused.Inc(1)
	if e.ID != 0 {
		l.write(frame{envelope: envelope{Reply: true, ID: e.ID, Status: s}})
	}
}
