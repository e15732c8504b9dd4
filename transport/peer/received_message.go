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
	l.recordReceived(m.at)
	e := m.envelope
	switch {
	case e.Reply:
		if call, ok := l.pending[e.ID]; ok {
			delete(l.pending, e.ID)
			call.reply <- e
		}
	case e.Kind == kindPing:
		l.enqueueFrame(frame{envelope: envelope{Reply: true, ID: e.ID}})
	case e.Kind == kindCancel:
		if cancel, ok := l.running[e.ID]; ok {
			cancel()
		}
	default:
		l.serve(e, m.at)
	}
}

// serve starts the handler of a request.
func (l *link) serve(e envelope, arrived time.Time) {
	h, ok := l.hub.handlers[e.Kind]
	if !ok || h.notice || e.ID == 0 {
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
	l.running[e.ID] = cancel
	l.hub.handlerTasks.Go(func() {
		defer h.release()
		defer cancel()
		l.runHandler(ctx, h, e)
	})
}

// runHandler runs the handler and queues its reply for the writer. If the queue is full, runHandler waits and keeps its
// slot, so the limit of handlers also bounds the unsent replies.
func (l *link) runHandler(ctx context.Context, h *handler, e envelope) {
	reply := envelope{Reply: true, ID: e.ID, Status: statusExpired}
	if ctx.Err() == nil {
		reply.Body, reply.Status, reply.Detail = h.serve(ctx, l.remoteID, e.Body)
	}
	if len(reply.Body) > l.hub.options.MaxFrame-envelopeOverhead {
		reply.Body, reply.Status, reply.Detail = nil, statusFailed, "the reply is larger than a frame"
	}
	select {
	case l.frames <- frame{envelope: reply}:
	case <-l.done:
		return
	}
	_ = l.messages.Send(l.ctx, handlerEndedMessage{id: e.ID})
}

// refuse replies to a request for which no handler runs, and counts it.
func (l *link) refuse(e envelope, s status) {
	l.hub.requestsRefused.Inc(1)
	if e.ID != 0 {
		l.enqueueFrame(frame{envelope: envelope{Reply: true, ID: e.ID, Status: s}})
	}
}
