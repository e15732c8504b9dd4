package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"
)

// readFrames sends the received frames to the task until the connection fails.
func (l *link) readFrames(ctx context.Context) error {
	for {
		kind, data, err := l.conn.Read(ctx)
		if err != nil {
			return Error.Wrap(err)
		}
		l.hub.bytesReceived.Inc(int64(len(data)))
		if kind != websocket.MessageBinary {
			return Error.New("text frame received")
		}
		e, err := decodeEnvelope(data)
		if err != nil {
			return err
		}
		if err := l.messages.Send(ctx, receivedMessage{envelope: e, at: time.Now()}); err != nil {
			return err
		}
	}
}

// writeFrames writes the queued frames until the connection fails.
func (l *link) writeFrames(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-l.frames:
			if err := l.writeFrame(ctx, f); err != nil {
				return err
			}
		}
	}
}

func (l *link) writeFrame(ctx context.Context, f frame) error {
	if f.state != nil {
		wait := time.Until(f.deadline)
		if wait <= 0 || !f.state.tryWrite() {
			return nil
		}
		f.envelope.WaitMillis = toWaitMillis(wait)
	}
	data, err := f.envelope.encode()
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, l.hub.options.DeadAfter)
	defer cancel()
	l.hub.bytesSent.Inc(int64(len(data)))
	return Error.Wrap(l.conn.Write(ctx, websocket.MessageBinary, data))
}
