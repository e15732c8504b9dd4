package admission

import (
	"slices"
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/queue"
)

// Dispatch grants what may start now and refuses what has waited too long. The authority must be that of the same moment.
// Each reply carries the summary of the cell after all decisions.
func (c *Cell) Dispatch(now time.Time, a Authority) []Decision {
	decisions := c.decide(now, a)
	if len(decisions) == 0 {
		return nil
	}
	summary := c.summary(now)
	for i := range decisions {
		decisions[i].Reply.Summary = summary
	}
	return decisions
}

// decide makes the decisions that are due.
func (c *Cell) decide(now time.Time, a Authority) []Decision {
	c.confirmed = a.Confirmed
	c.setOut(now, a.Out)
	switch {
	case !a.Owned || c.stale:
		return c.refuseAll(now, verdict.ReasonNoOwner, "the cell is changing its owner")
	case a.Out:
		return c.refuseAll(now, verdict.ReasonNoEndpoint, "the data centre is out")
	}
	decisions := c.expire(now)
	if now.Before(c.activeFrom) || c.queue.Len() == 0 || !c.scanIsDue(now, a) {
		return decisions
	}
	c.placer.release(c.queue.Has)
	c.placer.begin(now, a.Confirmed, c.endpoints)
	if c.placer.staying == 0 {
		return append(decisions, c.refuseAll(now, verdict.ReasonNoEndpoint, "no endpoint of the cell takes new work")...)
	}
	c.queue.Scan(now, func(i *queue.Item[Waiting]) queue.Outcome {
		if c.isHopeless(i.Value.Request) {
			decisions = append(decisions, *c.refuse(i.Value, verdict.ReasonNoEndpoint, "no endpoint of the cell can run the request"))
			return queue.Drop
		}
		if c.placer.free == 0 {
			return queue.Stop
		}
		e := c.choose(now, a.Confirmed, i)
		if e == nil {
			return queue.Skip
		}
		decisions = append(decisions, c.grant(now, e, i.Value))
		c.placer.granted(now, a.Confirmed, e)
		return queue.Take
	})
	return decisions
}

// scanIsDue reports whether a look at the queue can have a new result: something changed since the last one, a probe is
// due, or time that matters for ageing and reservations has passed. Progress reports, most of all messages, change nothing.
func (c *Cell) scanIsDue(now time.Time, a Authority) bool {
	probe := !c.placer.probe.IsZero() && !now.Before(c.placer.probe)
	if !c.changed && !probe && a == c.scannedWith && now.Before(c.scanned.Add(scanInterval)) {
		return false
	}
	c.changed, c.scannedWith, c.scanned = false, a, now
	return true
}

// expire refuses what has waited too long.
func (c *Cell) expire(now time.Time) []Decision {
	var decisions []Decision
	for _, i := range c.queue.Expired(now) {
		decisions = append(decisions, *c.refuse(i.Value, verdict.ReasonQueueTimeout, "no endpoint became free in time"))
	}
	return decisions
}

// choose returns the endpoint on which a waiting request starts, or nil. A request that others overtook for too long,
// because it needs more room than becomes free at once, gets an endpoint reserved.
func (c *Cell) choose(now time.Time, confirmed bool, i *queue.Item[Waiting]) *endpoint {
	r := &i.Value.Request
	overdue := c.placer.reservation.endpoint == nil &&
		i.Waited(now) >= min(reserveAfter, i.Deadline.Sub(i.Value.Since)/2)
	mine := c.placer.reservation.ticket == i.Ticket
	if !overdue && !mine && c.placer.hasFailed(r) {
		return nil
	}
	at, ok := c.placer.choose(now, confirmed, &i.Value, c.forecast(r, 0, c.endpoints[0]))
	switch {
	case ok:
		return c.endpoints[at]
	case overdue:
		c.placer.reserve(i.Ticket, c.endpoints)
	}
	return nil
}

// isHopeless reports whether every endpoint that stays is excluded, so that the request can only run in another cell.
func (c *Cell) isHopeless(r message.PlaceRequest) bool {
	if len(r.Exclude) == 0 {
		return false
	}
	for _, e := range c.endpoints {
		if e.state != Leaving && !slices.Contains(r.Exclude, e.ID) {
			return false
		}
	}
	return true
}

// setOut takes the data centre out or back in. On its return every endpoint is cold.
func (c *Cell) setOut(now time.Time, out bool) {
	if c.out && !out {
		for _, e := range c.endpoints {
			if e.state != Unknown && e.state != Leaving {
				e.becomeCold(now, c.params)
			}
		}
	}
	c.out = out
}

// grant opens a grant for a request.
func (c *Cell) grant(now time.Time, e *endpoint, w Waiting) Decision {
	c.number++
	c.counts.Grants++
	opened := &grant{
		request: w.Request, at: now, heard: now, incarnation: e.load.Incarnation, coldStarts: e.coldStarts,
		probe: e.state == Suspect,
	}
	e.grants[c.number] = opened
	e.sinceReport++
	if w.Request.Alone {
		e.alone++
	}
	e.addMemory(opened, c.forecast(&opened.request, 0, e))
	e.candidate.Prefill += w.Request.PromptTokens
	c.prefixes.Add(e.candidate.Slot, w.Request.PrefixHashes)
	c.byGrant[c.number] = e
	// The gateway counts from a moment before w.Since, so the grant lapses at most params.StartWithin from now.
	g := &message.Grant{
		Cell: c.id, Number: c.number, Fence: c.fence, Endpoint: e.Endpoint,
		Incarnation: e.load.Incarnation,
		StartWithin: now.Sub(w.Since) + c.params.StartWithin, TokenInterval: e.steps.Predict(e.inFlight()),
	}
	return Decision{Ticket: w.Ticket, Reply: message.PlaceReply{Grant: g}}
}
