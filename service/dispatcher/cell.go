package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/admission"
)

const (
	// cellCapacity bounds the mailbox of a cell. When the mailbox is full, requests are refused as busy, load reports are
	// dropped, and grant reports wait.
	cellCapacity = 4096
	// maxDispatchWait is the longest time between two dispatch runs.
	maxDispatchWait = time.Second
	// refreshInterval is the interval at which the pollers and the gauges are updated.
	refreshInterval = time.Second
)

// Cell is the task that admits requests to the endpoints of one cell.
type Cell struct {
	id         string
	fence      uint64
	log        *zap.Logger
	messages   mailbox.Mailbox[cellMessage]
	lastTicket atomic.Uint64
	// ctx ends when the cell must stop; done is closed after the last message was handled.
	ctx  context.Context
	done chan struct{}

	// Only the task uses the fields below.
	pollerTemplate loadPoller
	authority      authoritySource
	fenceObserver  FenceObserver
	meter          *cellMeter
	admission      *admission.Cell
	waiting        map[uint64]placeMessage
	pollerCancels  map[string]context.CancelFunc
	pollerTasks    sync.WaitGroup
}

// Place requests a grant and waits for the reply until ctx ends. If the mailbox is full, Place returns a refusal with the
// reason busy.
func (c *Cell) Place(ctx context.Context, r message.PlaceRequest) (message.PlaceReply, error) {
	m := placeMessage{ticket: c.lastTicket.Add(1), request: r, reply: make(chan message.PlaceReply, 1)}
	if !c.messages.TrySend(m) {
		return newRefusal(verdict.ReasonBusy, "the cell has too many waiting messages"), nil
	}
	select {
	case answer := <-m.reply:
		return answer, nil
	case <-c.done:
		return lastReply(m.reply), nil
	case <-ctx.Done():
		c.abandon(m)
		return message.PlaceReply{}, ctx.Err()
	}
}

// abandon withdraws a request whose caller no longer waits. If the request has a grant, the grant is released.
func (c *Cell) abandon(m placeMessage) {
	_ = c.messages.Send(c.ctx, abandonMessage{ticket: m.ticket, reply: m.reply})
}

// lastReply returns the reply that the cell sent before it ended, or a refusal if the cell sent none.
func lastReply(reply <-chan message.PlaceReply) message.PlaceReply {
	select {
	case answer := <-reply:
		return answer
	default:
		return newRefusal(verdict.ReasonNoOwner, "the cell is changing its owner")
	}
}

func newRefusal(reason verdict.Reason, detail string) message.PlaceReply {
	return message.PlaceReply{Refusal: &message.Refusal{Reason: reason, Detail: detail}}
}

// Report sends a report on a grant to the cell. It waits for room in the mailbox until ctx ends.
func (c *Cell) Report(ctx context.Context, r message.GrantReport) error {
	return c.messages.Send(ctx, reportMessage{report: r})
}

// View returns the state of the cell.
func (c *Cell) View(ctx context.Context) (admission.View, error) {
	return mailbox.Call(ctx, c.messages, func(reply chan<- admission.View) cellMessage {
		return viewMessage{reply: reply}
	})
}

// run handles messages until the cell's context ends, then refuses the waiting requests.
func (c *Cell) run() {
	defer close(c.done)
	timer := time.NewTimer(maxDispatchWait)
	defer timer.Stop()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	defer c.shutDown()
	for {
		select {
		case <-c.ctx.Done():
			return
		case m := <-c.messages.Receive():
			m.apply(c)
		case <-timer.C:
		case <-ticker.C:
			c.updatePollers()
			c.meter.update(c.admission.View())
		}
		c.dispatch()
		timer.Reset(c.untilDeadline())
	}
}

// dispatch replies to the waiting requests that the admission rules decide now.
func (c *Cell) dispatch() {
	now := time.Now()
	for _, d := range c.admission.Dispatch(now, c.authority.read(now)) {
		m, ok := c.waiting[d.Ticket]
		if !ok {
			continue
		}
		delete(c.waiting, d.Ticket)
		c.sendReply(m, d.Reply)
	}
}

// sendReply replies to a request. The reply channel has a buffer of one, so the task never waits for a caller.
func (c *Cell) sendReply(m placeMessage, r message.PlaceReply) {
	c.meter.countReply(r)
	m.reply <- r
}

func (c *Cell) untilDeadline() time.Duration {
	deadline, ok := c.admission.NextDeadline()
	if !ok {
		return maxDispatchWait
	}
	return min(maxDispatchWait, max(0, time.Until(deadline)))
}

// shutDown refuses the waiting requests, and waits for the pollers, whose contexts have ended.
func (c *Cell) shutDown() {
	for _, m := range c.waiting {
		c.sendReply(m, newRefusal(verdict.ReasonNoOwner, "the cell is changing its owner"))
	}
	c.pollerTasks.Wait()
}

// updatePollers starts and stops load pollers, so that one runs for each endpoint whose load reports admission needs.
func (c *Cell) updatePollers() {
	present := map[string]bool{}
	for _, e := range c.admission.Endpoints() {
		present[e.ID] = true
		if _, ok := c.pollerCancels[e.ID]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(c.ctx)
		c.pollerCancels[e.ID] = cancel
		p := c.pollerTemplate
		p.endpoint, p.messages = e, c.messages
		c.pollerTasks.Go(func() { p.run(ctx) })
	}
	for id, cancel := range c.pollerCancels {
		if !present[id] {
			cancel()
			delete(c.pollerCancels, id)
		}
	}
}
