package dispatcher

import (
	"context"
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
)

// Cell is the task that admits requests to the endpoints of one cell.
type Cell struct {
	id       string
	log      *zap.Logger
	loader   Loader
	interval time.Duration
	messages mailbox.Mailbox[cellMessage]

	decisions  *admission.Cell
	waiting    map[uint64]placeMessage
	nextTicket uint64
	pollers    map[string]context.CancelFunc
	ctx        context.Context
}

// newCell returns the task of a cell that is owned with the given fencing token.
func newCell(log *zap.Logger, id string, fence uint64, loader Loader, interval time.Duration) *Cell {
	return &Cell{
		id: id, log: log, loader: loader, interval: interval, messages: mailbox.New[cellMessage](cellCapacity),
		decisions: admission.NewCell(id, fence, admission.Params{}),
		waiting:   map[uint64]placeMessage{}, pollers: map[string]context.CancelFunc{},
	}
}

// Place asks for a grant and waits until ctx ends. A full mailbox answers with the reason busy.
func (c *Cell) Place(ctx context.Context, r message.PlaceRequest) (message.PlaceReply, error) {
	reply := make(chan message.PlaceReply, 1)
	if !c.messages.TrySend(placeMessage{ctx: ctx, request: r, reply: reply}) {
		refusal := message.Refusal{Reason: verdict.ReasonBusy, Detail: "the cell has too many waiting messages"}
		return message.PlaceReply{Refusal: &refusal}, nil
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return message.PlaceReply{}, ctx.Err()
	}
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

// run handles messages until ctx ends, then refuses what still waits.
func (c *Cell) run(ctx context.Context) {
	c.ctx = ctx
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	defer c.refuseWaiting()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.messages.Receive():
			m.apply(c)
		case <-timer.C:
		}
		c.dispatch()
		timer.Reset(c.untilDeadline())
	}
}

// dispatch delivers the decisions that are due.
func (c *Cell) dispatch() {
	for _, d := range c.decisions.Dispatch(time.Now()) {
		m, ok := c.waiting[d.Ticket]
		if !ok {
			continue
		}
		delete(c.waiting, d.Ticket)
		m.reply <- d.Reply
	}
}

func (c *Cell) untilDeadline() time.Duration {
	deadline, ok := c.decisions.NextDeadline()
	if !ok {
		return idleInterval
	}
	return min(idleInterval, max(0, time.Until(deadline)))
}

// refuseWaiting answers the requests that still wait when the cell ends.
func (c *Cell) refuseWaiting() {
	refusal := message.Refusal{Reason: verdict.ReasonNoOwner, Detail: "the cell is changing its owner"}
	for _, m := range c.waiting {
		m.reply <- message.PlaceReply{Refusal: &refusal}
	}
}

// pollEndpoints runs one load poller for each endpoint.
func (c *Cell) pollEndpoints(endpoints []message.Endpoint) {
	present := map[string]bool{}
	for _, e := range endpoints {
		present[e.ID] = true
		if _, ok := c.pollers[e.ID]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(c.ctx)
		c.pollers[e.ID] = cancel
		p := loadPoller{endpoint: e, loader: c.loader, interval: c.interval, cell: c}
		go p.run(ctx)
	}
	for id, cancel := range c.pollers {
		if !present[id] {
			cancel()
			delete(c.pollers, id)
		}
	}
}
