package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/placement"
	"azuredyke.dev/azuredyke/decision/queue"
)

// busyRetryAfter is the Retry-After of requests that are refused for lack of room.
const busyRetryAfter = time.Second

// Enqueue adds a request to the queue and returns nil, or returns the refusal.
func (c *Cell) Enqueue(now time.Time, w WaitingRequest) *Decision {
	w.Since, c.scanPending = now, true
	r := w.Request
	refused := c.queue.Push(now, queue.Item[WaitingRequest]{
		Ticket: w.Ticket, Workspace: r.Workspace, Priority: r.Priority, Weight: r.Weight, Cost: c.cost(r),
		Deadline: w.Deadline, Value: w,
	})
	if refused == nil {
		return nil
	}
	d := c.refuse(w, verdict.ReasonBusy, "the queue is full")
	if !refused.Full {
		d = c.refuse(w, verdict.ReasonQueueTimeout, "the request would wait past its time")
	}
	d.Reply.Summary = c.summary(now)
	d.Reply.Refusal.RetryAfter = refused.RetryAfter
	return d
}

// Cancel removes a waiting request.
func (c *Cell) Cancel(ticket uint64) { c.queue.Remove(ticket) }

// NextDeadline returns the earliest deadline in the queue, or false if the queue is empty.
func (c *Cell) NextDeadline() (time.Time, bool) { return c.queue.NextDeadline() }

// cost returns the expected work of a request in tokens.
func (c *Cell) cost(r message.PlaceRequest) float64 {
	if r.Model == "" {
		return 1
	}
	expected := c.lengths.ForWorkspace(r.Workspace).Remaining(0)
	if r.MaxTokens > 0 {
		expected = min(expected, float64(r.MaxTokens))
	}
	return float64(r.PromptTokens) + expected
}

// forecast returns the expected memory of a request on an endpoint after the given number of answer tokens.
func (c *Cell) forecast(r *message.PlaceRequest, tokens int, e *endpoint) placement.Forecast {
	if r.Model == "" {
		return placement.Forecast{}
	}
	return placement.NewForecast(c.lengths.ForWorkspace(r.Workspace), r.PromptTokens, tokens, r.MaxTokens, e.load.BlockTokens)
}

// refuseAll empties the queue.
func (c *Cell) refuseAll(now time.Time, reason verdict.Reason, detail string) []Decision {
	decisions := make([]Decision, 0, c.queue.Len())
	c.queue.Scan(now, func(i *queue.Item[WaitingRequest]) queue.ScanAction {
		decisions = append(decisions, *c.refuse(i.Value, reason, detail))
		return queue.Drop
	})
	return decisions
}

func (c *Cell) refuse(w WaitingRequest, reason verdict.Reason, detail string) *Decision {
	return &Decision{Ticket: w.Ticket, Reply: message.PlaceReply{
		Refusal: &message.Refusal{Reason: reason, Detail: detail, RetryAfter: busyRetryAfter},
	}}
}
