package admission

import (
	"slices"
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
)

// Dispatch grants what may start now and refuses what has waited too long. The authority must have been read after now.
func (c *Cell) Dispatch(now time.Time, a Authority) []Decision {
	c.setOut(a.Out)
	switch {
	case !a.Owned || c.stale:
		return c.refuseAll(verdict.ReasonNoOwner, "the cell is changing its owner")
	case a.Out:
		return c.refuseAll(verdict.ReasonNoEndpoint, "the data centre is out")
	}
	var decisions []Decision
	var waiting []Waiting
	for _, w := range c.queue {
		if !now.Before(w.Deadline) {
			decisions = append(decisions, *c.refuse(w, verdict.ReasonQueueTimeout, "no endpoint became free in time"))
			continue
		}
		if c.isHopeless(now, w.Request) {
			decisions = append(decisions, *c.refuse(w, verdict.ReasonNoEndpoint, "no endpoint of the cell can run the request"))
			continue
		}
		if e := c.pick(now, a, w.Request); e != nil {
			decisions = append(decisions, c.grant(now, e, w))
			continue
		}
		waiting = append(waiting, w)
	}
	c.queue = waiting
	return decisions
}

// setOut takes the data centre out or back in. On its return every endpoint is cold.
func (c *Cell) setOut(out bool) {
	if c.out && !out {
		for _, e := range c.endpoints {
			if e.state != Unknown && e.state != Leaving {
				e.becomeCold(c.params)
			}
		}
	}
	c.out = out
}

// NextDeadline returns the earliest deadline in the queue; its second result is false when the queue is empty.
func (c *Cell) NextDeadline() (time.Time, bool) {
	if len(c.queue) == 0 {
		return time.Time{}, false
	}
	earliest := c.queue[0].Deadline
	for _, w := range c.queue[1:] {
		if w.Deadline.Before(earliest) {
			earliest = w.Deadline
		}
	}
	return earliest, true
}

// isHopeless reports whether every endpoint is leaving or excluded, so that the request can only run in another cell.
func (c *Cell) isHopeless(now time.Time, r message.PlaceRequest) bool {
	if now.Before(c.activeFrom) {
		return false
	}
	for _, e := range c.endpoints {
		if e.state != Leaving && !slices.Contains(r.Exclude, e.ID) {
			return false
		}
	}
	return true
}

// pick returns the admitting endpoint with the fewest requests in flight, or nil.
func (c *Cell) pick(now time.Time, a Authority, r message.PlaceRequest) *endpoint {
	if now.Before(c.activeFrom) {
		return nil
	}
	var best *endpoint
	for _, e := range c.endpoints {
		if !e.admits(now, a.Confirmed) || slices.Contains(r.Exclude, e.ID) || e.alone() {
			continue
		}
		if r.Alone && e.inFlight() > 0 {
			continue
		}
		if best == nil || e.inFlight() < best.inFlight() {
			best = e
		}
	}
	return best
}

// grant opens a grant for a request.
func (c *Cell) grant(now time.Time, e *endpoint, w Waiting) Decision {
	c.number++
	c.counts.Grants++
	e.grants[c.number] = &grant{request: w.Request, at: now, heard: now, probe: e.state == Suspect}
	e.sinceReport++
	c.byGrant[c.number] = e
	// The gateway counts from a moment before w.Since, so the grant lapses at most params.StartWithin from now.
	g := &message.Grant{
		Cell: c.id, Number: c.number, Fence: c.fence, Endpoint: e.Endpoint,
		StartWithin: now.Sub(w.Since) + c.params.StartWithin,
	}
	return Decision{Ticket: w.Ticket, Reply: message.PlaceReply{Grant: g, Summary: c.summary(now)}}
}

// refuseAll empties the queue.
func (c *Cell) refuseAll(reason verdict.Reason, detail string) []Decision {
	decisions := make([]Decision, 0, len(c.queue))
	for _, w := range c.queue {
		decisions = append(decisions, *c.refuse(w, reason, detail))
	}
	c.queue = nil
	return decisions
}

func (c *Cell) refuse(w Waiting, reason verdict.Reason, detail string) *Decision {
	return &Decision{Ticket: w.Ticket, Reply: message.PlaceReply{
		Refusal: &message.Refusal{Reason: reason, Detail: detail, RetryAfter: busyRetryAfter},
		Summary: message.CellSummary{Queued: len(c.queue)},
	}}
}
