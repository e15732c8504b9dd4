package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/transport/peer"
)

const (
	// senderCapacity bounds the mailbox of a sender.
	senderCapacity  = 256
	deliveryTimeout = 2 * time.Second
	// minRetryWait and maxRetryWait bound the backoff after a failed delivery.
	minRetryWait = 100 * time.Millisecond
	maxRetryWait = 2 * time.Second
	// retireAfter is the idle time after which a sender is no longer published. The sender runs for the same time again,
	// because callers that loaded it earlier may still enqueue deliveries.
	retireAfter = 5 * time.Minute
)

// sender is the task that delivers reports to one owner.
type sender struct {
	router     *Router
	owner      message.Holding
	deliveries mailbox.Mailbox[delivery]

	queue    *queue
	failures int
	retryAt  time.Time
	// inFlight is the number of queued deliveries in the message that is being sent, or -1 if none is being sent.
	inFlight int
	results  chan error
	lastUsed time.Time
	retired  bool
	// flushWaiters are closed once no delivery is queued; progress reports do not count.
	flushWaiters []chan<- struct{}
}

func newSender(r *Router, owner message.Holding) *sender {
	return &sender{
		router: r, owner: owner, deliveries: mailbox.New[delivery](senderCapacity), queue: newQueue(), inFlight: -1,
		results: make(chan error, 1),
	}
}

// run delivers until ctx ends or the sender has been idle for twice retireAfter.
func (s *sender) run(ctx context.Context) {
	s.lastUsed = time.Now()
	timer := time.NewTimer(retireAfter)
	defer timer.Stop()
	for {
		incoming := s.deliveries.Receive()
		if s.queue.full() {
			incoming = nil
		}
		select {
		case <-ctx.Done():
			if s.inFlight >= 0 {
				<-s.results
			}
			return
		case d := <-incoming:
			s.lastUsed = time.Now()
			if d.flushed != nil {
				s.flushWaiters = append(s.flushWaiters, d.flushed)
				break
			}
			s.queue.add(s.lastUsed, d)
		case err := <-s.results:
			s.handleResult(time.Now(), err)
		case <-timer.C:
		}
		now := time.Now()
		s.send(ctx, now)
		if len(s.queue.deliveries) == 0 {
			for _, flushed := range s.flushWaiters {
				close(flushed)
			}
			s.flushWaiters = nil
		}
		if s.retire(ctx, now) {
			return
		}
		timer.Reset(s.untilNextSend(now))
	}
}

// untilNextSend returns the time until the next message can be sent, or retireAfter if none is queued or one is being sent.
func (s *sender) untilNextSend(now time.Time) time.Duration {
	due, ok := s.queue.dueIn(now)
	if !ok || s.inFlight >= 0 {
		return retireAfter
	}
	return max(due, s.retryAt.Sub(now))
}

// send starts to send the next message if one is due and none is being sent.
func (s *sender) send(ctx context.Context, now time.Time) {
	due, ok := s.queue.dueIn(now)
	if s.inFlight >= 0 || !ok || due > 0 || now.Before(s.retryAt) {
		return
	}
	var batch reportBatch
	batch, s.inFlight = s.queue.nextBatch(now)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
		defer cancel()
		_, err := peer.Call[reportBatch, bool](ctx, s.router.options.Hub, s.owner.Address, kindReport, batch)
		s.results <- err
	}()
}

// handleResult removes the delivered part of the queue. After an error, handleResult removes obsolete deliveries and
// schedules a retry after an exponential backoff.
func (s *sender) handleResult(now time.Time, err error) {
	n := s.inFlight
	s.inFlight = -1
	if err == nil {
		s.failures = 0
		s.queue.removeDelivered(n)
		return
	}
	table := s.router.options.Members.Load()
	before := len(s.queue.deliveries)
	s.queue.deliveries = slices.DeleteFunc(s.queue.deliveries, func(d delivery) bool { return s.isObsolete(table, d) })
	if dropped := before - len(s.queue.deliveries); dropped > 0 {
		s.router.log.Info("reports dropped: the cell has a newer owner or the owner has left",
			zap.String("node", s.owner.Node), zap.Int("reports", dropped))
	}
	wait := min(maxRetryWait, minRetryWait<<min(s.failures, 8))
	s.failures++
	s.retryAt = now.Add(wait/2 + rand.N(wait/2+1))
}

// isObsolete reports whether the owner no longer needs a delivery: the cell has a newer owner, or the node has left the
// cluster and admits nothing any more.
func (s *sender) isObsolete(table *membership.Table, d delivery) bool {
	if m, ok := table.Member(s.owner.Node); ok && m.State == membership.StateLeft {
		return true
	}
	owner, ok := table.Owner(d.cell)
	return ok && owner.Fence > d.fence
}

// retire unpublishes an idle sender, and reports whether the sender may end.
func (s *sender) retire(ctx context.Context, now time.Time) bool {
	idle := now.Sub(s.lastUsed)
	if s.inFlight >= 0 || !s.queue.empty() || idle < retireAfter {
		return false
	}
	if !s.retired {
		s.retired = s.router.messages.Send(ctx, retiredMessage{sender: s}) == nil
	}
	return s.retired && idle >= 2*retireAfter
}
