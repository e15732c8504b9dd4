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
	// cellCapacity bounds the waiting messages of a cell. Requests beyond it are refused as busy, load reports are
	// dropped, and reports of grants wait.
	cellCapacity = 4096
	// idleInterval is the longest wait between two looks at the queue.
	idleInterval = time.Second
	// tidyInterval is how often the pollers and the gauges are brought up to date.
	tidyInterval = time.Second
)

// Cell is the task that admits requests to the endpoints of one cell.
type Cell struct {
	id       string
	fence    uint64
	log      *zap.Logger
	messages mailbox.Mailbox[cellMessage]
	tickets  atomic.Uint64
	// life ends when the cell must stop; ended is closed after the last message was handled.
	life  context.Context
	ended chan struct{}

	// The fields below belong to the task.
	poll       loadPoller
	authority  authority
	fences     FenceObserver
	meter      *cellMeter
	decisions  *admission.Cell
	waiting    map[uint64]placeMessage
	pollers    map[string]context.CancelFunc
	pollerTask sync.WaitGroup
}

// Place asks for a grant and waits until ctx ends. A full mailbox answers with the reason busy.
func (c *Cell) Place(ctx context.Context, r message.PlaceRequest) (message.PlaceReply, error) {
	m := placeMessage{ticket: c.tickets.Add(1), request: r, reply: make(chan message.PlaceReply, 1)}
	if !c.messages.TrySend(m) {
		return refusal(verdict.ReasonBusy, "the cell has too many waiting messages"), nil
	}
	select {
	case answer := <-m.reply:
		return answer, nil
	case <-c.ended:
		return lastReply(m.reply), nil
	case <-ctx.Done():
		c.abandon(m)
		return message.PlaceReply{}, ctx.Err()
	}
}

// abandon tells the task that nobody waits for a reply any more. The grant that it may hold is returned.
func (c *Cell) abandon(m placeMessage) {
	_ = c.messages.Send(c.life, abandonMessage{ticket: m.ticket, reply: m.reply})
}

// lastReply returns the reply that the cell made before it ended, or a refusal.
func lastReply(reply <-chan message.PlaceReply) message.PlaceReply {
	select {
	case answer := <-reply:
		return answer
	default:
		return refusal(verdict.ReasonNoOwner, "the cell is changing its owner")
	}
}

func refusal(reason verdict.Reason, detail string) message.PlaceReply {
	return message.PlaceReply{Refusal: &message.Refusal{Reason: reason, Detail: detail}}
}

// Report tells the cell what happened to a grant.
func (c *Cell) Report(ctx context.Context, r message.GrantReport) error {
	return c.messages.Send(ctx, reportMessage{report: r})
}

// View returns the state of the cell.
func (c *Cell) View(ctx context.Context) (admission.View, error) {
	return mailbox.Call(ctx, c.messages, func(reply chan<- admission.View) cellMessage {
		return viewMessage{reply: reply}
	})
}

// run handles messages until the cell's life ends, then refuses what still waits.
func (c *Cell) run() {
	defer close(c.ended)
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	ticker := time.NewTicker(tidyInterval)
	defer ticker.Stop()
	defer c.stop()
	for {
		select {
		case <-c.life.Done():
			return
		case m := <-c.messages.Receive():
			m.apply(c)
		case <-timer.C:
		case <-ticker.C:
			c.pollEndpoints()
			c.meter.gauges(c.decisions.View())
		}
		c.dispatch()
		timer.Reset(c.untilDeadline())
	}
}

// dispatch delivers the decisions that are due.
func (c *Cell) dispatch() {
	now := time.Now()
	for _, d := range c.decisions.Dispatch(now, c.authority.at(now)) {
		m, ok := c.waiting[d.Ticket]
		if !ok {
			continue
		}
		delete(c.waiting, d.Ticket)
		c.answer(m, d.Reply)
	}
}

// answer replies to a request. The reply channel has room, so the task never waits for a gateway.
func (c *Cell) answer(m placeMessage, r message.PlaceReply) {
	c.meter.decided(r)
	m.reply <- r
}

func (c *Cell) untilDeadline() time.Duration {
	deadline, ok := c.decisions.NextDeadline()
	if !ok {
		return idleInterval
	}
	return min(idleInterval, max(0, time.Until(deadline)))
}

// stop answers the requests that still wait, and waits for the pollers, whose contexts have ended.
func (c *Cell) stop() {
	for _, m := range c.waiting {
		c.answer(m, refusal(verdict.ReasonNoOwner, "the cell is changing its owner"))
	}
	c.pollerTask.Wait()
}

// pollEndpoints runs one load poller for each endpoint that the decisions need reports of.
func (c *Cell) pollEndpoints() {
	present := map[string]bool{}
	for _, e := range c.decisions.Endpoints() {
		present[e.ID] = true
		if _, ok := c.pollers[e.ID]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(c.life)
		c.pollers[e.ID] = cancel
		p := c.poll
		p.endpoint, p.messages = e, c.messages
		c.pollerTask.Go(func() { p.run(ctx) })
	}
	for id, cancel := range c.pollers {
		if !present[id] {
			cancel()
			delete(c.pollers, id)
		}
	}
}
