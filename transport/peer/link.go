package peer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/mailbox"
)

// envelopeOverhead is an upper bound of the encoded size of an envelope without its body, in bytes.
const envelopeOverhead = 512

// link is the task of one connection to another node.
type link struct {
	hub *Hub
	// address is empty for a link that the other side opened.
	address  string
	messages mailbox.Mailbox[linkMessage]
	frames   chan frame
	// done is closed when the link has ended. Other goroutines may read err only after that.
	done chan struct{}
	err  error

	ctx  context.Context
	conn *websocket.Conn
	// remoteID is the node id of the other side.
	remoteID     string
	connected    bool
	pending      map[uint64]pendingCall
	running      map[uint64]context.CancelFunc
	nextID       uint64
	lastUsed     time.Time
	lastReceived time.Time
	// received is set once a frame has arrived after the handshake.
	received        bool
	unansweredSince time.Time
}

func newLink(h *Hub, address string, conn *websocket.Conn) *link {
	return &link{
		hub: h, address: address, conn: conn,
		messages: mailbox.New[linkMessage](h.options.QueueSize), frames: make(chan frame, h.options.QueueSize),
		done: make(chan struct{}), pending: map[uint64]pendingCall{}, running: map[uint64]context.CancelFunc{},
	}
}

// ended reports whether the link has ended and can no longer be used.
func (l *link) ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// run connects and serves until the connection fails, the link is idle, or ctx ends.
func (l *link) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	l.ctx = ctx
	var ioTasks sync.WaitGroup
	defer func() {
		cancel()
		if l.conn != nil {
			_ = l.conn.CloseNow()
		}
		close(l.done)
		ioTasks.Wait()
	}()
	if l.err = l.connect(ctx); l.err != nil {
		return
	}
	l.connected = true
	l.lastUsed, l.lastReceived = time.Now(), time.Now()
	ioErrors := make(chan error, 2)
	ioTasks.Go(func() { ioErrors <- l.readFrames(ctx) })
	ioTasks.Go(func() { ioErrors <- l.writeFrames(ctx) })
	l.err = l.loop(ctx, ioErrors)
	if ctx.Err() == nil {
		l.hub.log.Debug("link closed", zap.String("node", l.remoteID), zap.Error(l.err))
	}
}

// loop handles messages until the link must end, and returns the reason.
func (l *link) loop(ctx context.Context, ioErrors <-chan error) error {
	check := time.NewTicker(l.hub.options.PingAfter)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-ioErrors:
			return err
		case m := <-l.messages.Receive():
			m.apply(l)
		case now := <-check.C:
			if err := l.checkTimeouts(now); err != nil {
				return err
			}
		}
	}
}

// checkTimeouts sends a ping if an expected frame is late, and returns an error if the link is dead or idle.
func (l *link) checkTimeouts(now time.Time) error {
	o := l.hub.options
	maps.DeleteFunc(l.pending, func(_ uint64, c pendingCall) bool { return now.After(c.deadline) })
	silence := now.Sub(l.lastReceived)
	switch {
	case !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) >= o.DeadAfter:
		return Error.New("no answer within %v", o.DeadAfter)
	case l.address == "" && len(l.running) > 0 && silence >= 2*o.DeadAfter:
		// The other side sends pings while it waits for a reply.
		return Error.New("no ping within %v", 2*o.DeadAfter)
	case len(l.pending) == 0 && l.unansweredSince.IsZero():
		if l.isIdle(now) {
			return Error.New("idle")
		}
		return nil
	case l.address != "" && silence >= o.PingAfter:
		l.nextID++
		l.enqueueFrame(frame{envelope: envelope{Kind: kindPing, ID: l.nextID}})
		if l.unansweredSince.IsZero() {
			l.unansweredSince = now
		}
	}
	return nil
}

// isIdle reports whether a link without pending calls has been unused for so long that it must be closed. The side that
// accepted the link waits longer than the one that dialled it, so that no request crosses the close, and longest for the
// first frame, which a busy dialler may send late.
func (l *link) isIdle(now time.Time) bool {
	o := l.hub.options
	if l.address != "" {
		return now.Sub(l.lastUsed) >= o.IdleTimeout
	}
	limit := 2 * o.IdleTimeout
	if !l.received {
		limit = max(limit, 2*o.DeadAfter)
	}
	return len(l.running) == 0 && now.Sub(l.lastReceived) >= limit
}

// expectAnswer records the time of a sent frame. The link is dead if no frame arrives within DeadAfter.
func (l *link) expectAnswer() {
	l.lastUsed = time.Now()
	if l.unansweredSince.IsZero() && l.address != "" {
		l.unansweredSince = l.lastUsed
	}
}

// recordReceived records the time of a received frame, which shows that the other side is alive.
func (l *link) recordReceived(at time.Time) {
	l.lastReceived, l.received = at, true
	l.unansweredSince = time.Time{}
}

// enqueueFrame queues a frame for the writer, and returns false if the queue is full.
func (l *link) enqueueFrame(f frame) bool {
	select {
	case l.frames <- f:
		return true
	default:
		return false
	}
}
