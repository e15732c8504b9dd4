package peer

import (
	"context"
	"time"
)

// Call sends a request to the node at an address and waits for the reply until ctx ends, or for Options.CallTimeout if
// ctx has no deadline. The class of an error says whether the handler may have run.
func Call[Q, R any](ctx context.Context, h *Hub, address, kind string, q Q) (R, error) {
	var r R
	body, err := encMode.Marshal(q)
	if err != nil {
		return r, ErrNotDelivered.Wrap(err)
	}
	if len(body) > h.options.MaxFrame-envelopeOverhead {
		return r, ErrNotDelivered.New("%s of %d bytes is larger than a frame", kind, len(body))
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		var cancel context.CancelFunc
		deadline = time.Now().Add(h.options.CallTimeout)
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	reply, err := h.call(ctx, address, kind, body, deadline)
	if err != nil {
		return r, err
	}
	switch reply.Status {
	case statusOK:
		return r, ErrRemote.Wrap(decMode.Unmarshal(reply.Body, &r))
	case statusFailed:
		return r, ErrRemote.New("%s: %s", kind, reply.Detail)
	default:
		return r, ErrNotDelivered.New("%s: %v %s", kind, reply.Status, reply.Detail)
	}
}

// Notify sends a notice, which has no reply. It reports whether the notice was queued. A queued notice may still be lost.
func Notify[Q any](h *Hub, address, kind string, q Q) bool {
	body, err := encMode.Marshal(q)
	if err != nil || len(body) > h.options.MaxFrame-envelopeOverhead {
		h.noticesDropped.Inc(1)
		return false
	}
	m := noticeMessage{kind: kind, body: body}
	if l, ok := h.published.Load()[address]; ok && !l.ended() {
		if l.messages.TrySend(m) {
			return true
		}
		h.noticesDropped.Inc(1)
		return false
	}
	select {
	case h.messages <- openMessage{address: address, firstMessage: m}:
		return true
	default:
		h.noticesDropped.Inc(1)
		return false
	}
}

// call sends a request, and tries a second link if the first link ended before the request was written. This happens if a
// link is closed as idle at the same time.
func (h *Hub) call(ctx context.Context, address, kind string, body []byte, deadline time.Time) (envelope, error) {
	for attempt := 1; ; attempt++ {
		l, err := h.linkTo(ctx, address)
		if err != nil {
			return envelope{}, err
		}
		reply, err := l.call(ctx, kind, body, deadline)
		if err == nil || !ErrNotDelivered.Has(err) || !l.ended() || !l.connected || attempt == 2 || ctx.Err() != nil {
			return reply, err
		}
	}
}

// linkTo returns a link to the address that has not ended, and opens one if there is none.
func (h *Hub) linkTo(ctx context.Context, address string) (*link, error) {
	if l, ok := h.published.Load()[address]; ok && !l.ended() {
		return l, nil
	}
	opened := make(chan openReply, 1)
	select {
	case h.messages <- openMessage{address: address, reply: opened}:
	case <-ctx.Done():
		return nil, ErrNotDelivered.Wrap(ctx.Err())
	case <-h.done:
		return nil, ErrNotDelivered.New("the hub has ended")
	}
	select {
	case o := <-opened:
		return o.link, ErrNotDelivered.Wrap(o.err)
	case <-ctx.Done():
		return nil, ErrNotDelivered.Wrap(ctx.Err())
	case <-h.done:
		return nil, ErrNotDelivered.New("the hub has ended")
	}
}

// call sends one request on this link.
func (l *link) call(ctx context.Context, kind string, body []byte, deadline time.Time) (envelope, error) {
	reply, id := make(chan envelope, 1), make(chan uint64, 1)
	m := callMessage{kind: kind, body: body, deadline: deadline, state: &callState{}, reply: reply, id: id}
	if !l.messages.TrySend(m) {
		return envelope{}, ErrNotDelivered.New("the queue of the link to %s is full", l.address)
	}
	var cause error
	select {
	case e := <-reply:
		return e, nil
	case <-ctx.Done():
		cause = ctx.Err()
	case <-l.done:
		cause = l.err
	}
	select {
	case e := <-reply:
		return e, nil
	default:
	}
	if m.state.tryAbandon() {
		l.cancelCall(id)
		return envelope{}, ErrNotDelivered.New("%s to %s: %w", kind, l.address, cause)
	}
	l.cancelCall(id)
	return envelope{}, ErrMayBeDelivered.New("%s to %s: %w", kind, l.address, cause)
}

// cancelCall removes a call whose caller has given up. If the mailbox of the link is full, the call is removed when its
// reply arrives, at its deadline, or at the end of the link, and the handler on the other side ends at the deadline.
func (l *link) cancelCall(id <-chan uint64) {
	select {
	case n := <-id:
		l.messages.TrySend(cancelCallMessage{id: n})
	default:
	}
}
