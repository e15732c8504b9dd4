package edge

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/logging"
)

// maxLateDelivery is how long after the deadline a caller may read the rest of an answer whose run has ended well. A caller that
// does not read at all is given up after 5 s.
const maxLateDelivery = 10 * time.Second

// minUnreadTime is the time without a written event from which the caller counts as one that does not read. A write fails after 5 s;
// at about the same time the kernel resets the connection, which ends the request.
const minUnreadTime = 4 * time.Second

// readableItems returns the reader's channel; nil while the caller's buffer is full.
func (r *streamRelay) readableItems() <-chan streamItem {
	if r.output.isFull() {
		return nil
	}
	return r.reader.items
}

// write writes a part to the caller, or to the caller's buffer.
func (r *streamRelay) write(part []byte) error {
	if r.output == nil {
		return r.caller.Write(part)
	}
	r.output.push(r.ctx, part)
	return nil
}

// applyLimit applies a limit of the buffer keeper.
func (r *streamRelay) applyLimit(l bufferLimit) {
	if !r.output.share.apply(r.ctx, l, r.output.buffered) {
		return
	}
	r.server.metrics.buffersReduced.Inc(1)
	r.log(zap.InfoLevel, "stream may buffer less", zap.Int64("limit", l.bytes), zap.Int64("buffered", r.output.buffered),
		zap.Int64("granted", r.output.share.granted))
}

// deliverRest waits until the caller has read all events, after the run at the endpoint has ended. It does not return if the caller
// does not read them.
func (r *streamRelay) deliverRest() {
	if r.output == nil {
		return
	}
	ctx, cancel := r.withLateDelivery()
	defer cancel()
	err := r.output.drain(ctx)
	switch {
	case err == nil:
	case ctx.Err() != nil:
		r.reportUnread(err)
		r.abort(r.up, err)
	default:
		r.endUnread()
	}
}

// withLateDelivery returns a context that ends with that of the request, but maxLateDelivery after the deadline.
func (r *streamRelay) withLateDelivery() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.ctx))
	late := time.AfterFunc(time.Until(r.deadline)+maxLateDelivery, func() { cancel(context.DeadlineExceeded) })
	unregister := context.AfterFunc(r.ctx, func() {
		if cause := context.Cause(r.ctx); !errors.Is(cause, context.DeadlineExceeded) {
			cancel(cause)
		}
	})
	unregisterGrace := context.AfterFunc(r.server.graceEnd.ctx, func() { cancel(errGraceEnded) })
	return ctx, func() {
		late.Stop()
		unregister()
		unregisterGrace()
		cancel(nil)
	}
}

// endUnread ends the stream because a write to the caller has failed. It does not return.
func (r *streamRelay) endUnread() {
	r.reportUnread(r.output.writer.err)
	r.caller.Abort()
}

// reportUnread counts and logs a stream that ends because its caller does not read.
func (r *streamRelay) reportUnread(cause error) {
	unread := r.output.unreadFor()
	if unread < minUnreadTime {
		return
	}
	r.server.metrics.streamsUnread.Inc(1)
	r.log(zap.WarnLevel, "caller does not read its stream", zap.String("endpoint", r.up.placement.Endpoint.ID), zap.Duration("unread", unread),
		zap.Int64("buffered", r.output.buffered), zap.Int64("limit", r.output.share.limit), logging.Cause(cause))
}
