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
	// senderCapacity bounds the items that are handed over at a time.
	senderCapacity = 256
	deliverTimeout = 2 * time.Second
	// minRetry and maxRetry bound the wait after a failed delivery.
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
	// retireAfter is how long a sender is kept without work. It accepts items for as long again, from senders that still
	// know it.
	retireAfter = 5 * time.Minute
)

// sender is the task that delivers reports to one owner.
type sender struct {
	router *Router
	owner  message.Holding
	items  mailbox.Mailbox[item]

	queue    *queue
	failures int
	retryAt  time.Time
	// sending is the number of items in the message that is under way, or -1.
	sending int
	results chan error
	usedAt  time.Time
	retired bool
	// flushing is closed once no item waits.
	flushing []chan<- struct{}
}

func newSender(r *Router, owner message.Holding) *sender {
	return &sender{
		router: r, owner: owner, items: mailbox.New[item](senderCapacity), queue: newQueue(), sending: -1,
		results: make(chan error, 1),
	}
}

// run delivers until ctx ends or there is nothing to deliver for a long time.
func (o *sender) run(ctx context.Context) {
	o.usedAt = time.Now()
	timer := time.NewTimer(retireAfter)
	defer timer.Stop()
	for {
		incoming := o.items.Receive()
		if o.queue.full() {
			incoming = nil
		}
		select {
		case <-ctx.Done():
			if o.sending >= 0 {
				<-o.results
			}
			return
		case i := <-incoming:
			o.usedAt = time.Now()
			if i.flushed != nil {
				o.flushing = append(o.flushing, i.flushed)
				break
			}
			o.queue.add(o.usedAt, i)
		case err := <-o.results:
			o.finish(time.Now(), err)
		case <-timer.C:
		}
		now := time.Now()
		o.send(ctx, now)
		if len(o.queue.items) == 0 {
			for _, flushed := range o.flushing {
				close(flushed)
			}
			o.flushing = nil
		}
		if o.retire(ctx, now) {
			return
		}
		timer.Reset(o.wait(now))
	}
}

// wait returns the time until the next look.
func (o *sender) wait(now time.Time) time.Duration {
	due, ok := o.queue.dueIn(now)
	if !ok || o.sending >= 0 {
		return retireAfter
	}
	return max(due, o.retryAt.Sub(now))
}

// send starts the next message if one is due and none is under way.
func (o *sender) send(ctx context.Context, now time.Time) {
	due, ok := o.queue.dueIn(now)
	if o.sending >= 0 || !ok || due > 0 || now.Before(o.retryAt) {
		return
	}
	var batch reportBatch
	batch, o.sending = o.queue.batch(now)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
		defer cancel()
		_, err := peer.Call[reportBatch, bool](ctx, o.router.options.Hub, o.owner.Address, kindReport, batch)
		o.results <- err
	}()
}

// finish removes what was delivered, or what nobody needs any more, and otherwise waits before the next try.
func (o *sender) finish(now time.Time, err error) {
	n := o.sending
	o.sending = -1
	if err == nil {
		o.failures = 0
		o.queue.delivered(n)
		return
	}
	table := o.router.options.Members.Load()
	before := len(o.queue.items)
	o.queue.items = slices.DeleteFunc(o.queue.items, func(i item) bool { return o.obsolete(table, i) })
	if dropped := before - len(o.queue.items); dropped > 0 {
		o.router.log.Info("reports dropped, since the cell has another owner or its owner has left",
			zap.String("node", o.owner.Node), zap.Int("reports", dropped))
	}
	wait := min(maxRetry, minRetry<<min(o.failures, 8))
	o.failures++
	o.retryAt = now.Add(wait/2 + rand.N(wait/2+1))
}

// obsolete reports whether the owner no longer needs an item: the cell has a newer owner, or the node has announced its
// end, after which it admits nothing.
func (o *sender) obsolete(table *membership.Table, i item) bool {
	if m, ok := table.Member(o.owner.Node); ok && m.State == membership.StateLeft {
		return true
	}
	owner, ok := table.Owner(i.cell)
	return ok && owner.Fence > i.fence
}

// retire takes a sender without work out of use, and reports whether it may end.
func (o *sender) retire(ctx context.Context, now time.Time) bool {
	idle := now.Sub(o.usedAt)
	if o.sending >= 0 || !o.queue.empty() || idle < retireAfter {
		return false
	}
	if !o.retired {
		o.retired = o.router.messages.Send(ctx, retiredMessage{sender: o}) == nil
	}
	return o.retired && idle >= 2*retireAfter
}
