package edge

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/exchange"
)

// callerOutput holds the events of one stream that its caller has not read yet. It belongs to the relay task of the stream, and is
// nil for streams whose events the relay task writes itself.
type callerOutput struct {
	caller exchange.Caller
	share  *bufferShare
	// writer is nil until the header of the answer was sent.
	writer *callerWriter
	// queue holds the parts that the writer was not handed yet, and unwritten is the number of those that it has not written.
	queue     [][]byte
	unwritten int
	// buffered is the size of all parts that were not written.
	buffered int64
	// progressAt is the time of the last written part, or of the first part that waits.
	progressAt time.Time
	// closed is set once the writer was handed the last part.
	closed bool
}

// readAhead returns the bound of the stream's reader.
func (o *callerOutput) readAhead() readAhead {
	if o == nil {
		return directReadAhead
	}
	return bufferedReadAhead
}

// start starts the writer after the header was sent.
func (o *callerOutput) start() {
	if o != nil {
		o.writer = startCallerWriter(o.caller)
	}
}

// push adds a part.
func (o *callerOutput) push(ctx context.Context, part []byte) {
	if o.buffered == 0 {
		o.progressAt = time.Now()
	}
	o.buffered += partSize(part)
	o.queue = append(o.queue, part)
	o.feed()
	o.share.adjust(ctx, o.buffered)
}

// feed hands parts of the queue to the writer as far as it has room.
func (o *callerOutput) feed() {
	for len(o.queue) > 0 && o.unwritten < maxWriterParts {
		o.writer.parts <- o.queue[0]
		o.queue[0] = nil
		o.queue = o.queue[1:]
		o.unwritten++
	}
	if len(o.queue) == 0 {
		o.queue = nil
	}
}

// isFull reports whether no further event may be read from the endpoint.
func (o *callerOutput) isFull() bool { return o != nil && o.buffered >= o.share.allowed() }

// written returns the channel on which the writer reports written parts.
func (o *callerOutput) written() <-chan int64 {
	if o == nil || o.writer == nil {
		return nil
	}
	return o.writer.written
}

// failed returns the channel that is closed when the writer has ended, which it does before the end of the stream only if a write
// failed.
func (o *callerOutput) failed() <-chan struct{} {
	if o == nil || o.writer == nil {
		return nil
	}
	return o.writer.done
}

// limits returns the channel of the stream's limits.
func (o *callerOutput) limits() <-chan bufferLimit {
	if o == nil {
		return nil
	}
	return o.share.limits
}

// remove notes that the writer has written a part of the given size.
func (o *callerOutput) remove(ctx context.Context, size int64) {
	o.unwritten--
	o.buffered -= size
	o.progressAt = time.Now()
	o.feed()
	o.share.adjust(ctx, o.buffered)
}

// unreadFor returns how long the caller has not read, although there are events for it.
func (o *callerOutput) unreadFor() time.Duration {
	if o == nil || o.buffered == 0 {
		return 0
	}
	return time.Since(o.progressAt)
}

// drain waits until all parts are written. It returns an error if a write failed or ctx ended first.
func (o *callerOutput) drain(ctx context.Context) error {
	if o == nil || o.writer == nil {
		return nil
	}
	for len(o.queue) > 0 {
		select {
		case size := <-o.writer.written:
			o.remove(ctx, size)
		case <-o.writer.done:
			return o.writer.err
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	o.end()
	select {
	case <-o.writer.done:
		return o.writer.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// end tells the writer that no part follows.
func (o *callerOutput) end() {
	if !o.closed {
		o.closed = true
		close(o.writer.parts)
	}
}

// stop ends the writer, interrupting a write that blocks, and gives the stream's share back. The caller may be used afterwards.
func (o *callerOutput) stop(ctx context.Context) {
	if o == nil {
		return
	}
	if o.writer != nil {
		o.end()
		select {
		case <-o.writer.done:
		default:
			// A writer without parts ends at once. Interrupting it would cut the end of a complete answer.
			if o.buffered > 0 {
				o.caller.Interrupt()
			}
			<-o.writer.done
		}
	}
	o.share.giveBack(ctx)
}
