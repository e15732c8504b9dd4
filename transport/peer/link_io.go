package peer

import (
	"context"
	"time"

	"github.com/coder/websocket"
)

// activityDivisor divides PingAfter: a link's task learns of received notices at most that often in PingAfter.
const activityDivisor = 4

// readFrames reads frames until the connection fails. It runs the handlers of notices itself and sends all other frames to
// the task.
func (l *link) readFrames(ctx context.Context) error {
	activityInterval := l.hub.options.PingAfter / activityDivisor
	var activityAt time.Time
	for {
		// The end of the link closes the connection, so the read needs no context of its own.
		kind, data, err := l.conn.Read(context.Background())
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
		now := time.Now()
		if h := l.hub.noticeHandler(e); h != nil {
			_, _, _ = h.serve(ctx, l.remoteID, e.Body)
			if now.Sub(activityAt) >= activityInterval && l.messages.TrySend(activityMessage{at: now}) {
				activityAt = now
			}
			continue
		}
		if err := l.messages.Send(ctx, receivedMessage{envelope: e, at: now}); err != nil {
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
