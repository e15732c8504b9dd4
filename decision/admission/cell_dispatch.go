package admission

import (
	"slices"
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/queue"
)

// Dispatch grants the waiting requests that can start and refuses those that have waited too long. The authority must
// have been read at the time now. Each reply carries the summary of the cell after all decisions.
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

// decide returns the decisions of Dispatch without summaries.
func (c *Cell) decide(now time.Time, a Authority) []Decision {
	c.confirmed = a.Confirmed
	c.setDataCentreOut(now, a.DataCentreOut)
	switch {
	case !a.Owned || c.fenceStale:
		return c.refuseAll(now, verdict.ReasonNoOwner, "the cell is changing its owner")
	case a.DataCentreOut:
		return c.refuseAll(now, verdict.ReasonNoEndpoint, "the data centre is out")
	}
	decisions := c.refuseExpired(now)
	if now.Before(c.activeFrom) || c.queue.Len() == 0 || !c.scanIsDue(now, a) {
		return decisions
	}
	c.placer.releaseReservation(c.queue.Has)
	c.placer.beginScan(now, a.Confirmed, c.endpoints)
	if c.placer.stayingEndpoints == 0 {
		return append(decisions, c.refuseAll(now, verdict.ReasonNoEndpoint, "no endpoint of the cell takes new work")...)
	}
	c.queue.Scan(now, func(i *queue.Item[WaitingRequest]) queue.ScanAction {
		if c.isUnplaceable(i.Value.Request) {
			decisions = append(decisions, *c.refuse(i.Value, verdict.ReasonNoEndpoint, "no endpoint of the cell can run the request"))
			return queue.Drop
		}
		if c.placer.freeEndpoints == 0 {
			return queue.Stop
		}
		e := c.chooseEndpoint(now, a.Confirmed, i)
		if e == nil {
			return queue.Skip
		}
		decisions = append(decisions, c.openGrant(now, e, i.Value))
		c.placer.updateAfterGrant(now, a.Confirmed, e)
		return queue.Take
	})
	return decisions
}

// scanIsDue reports whether a queue scan can have a new result: an event since the last scan may have made room, a
// probe is due, or enough time has passed for promotions and reservations. Progress reports, which are most of all
// messages, make no scan due.
func (c *Cell) scanIsDue(now time.Time, a Authority) bool {
	probe := !c.placer.nextProbe.IsZero() && !now.Before(c.placer.nextProbe)
	if !c.scanPending && !probe && a == c.lastScanAuthority && now.Before(c.lastScan.Add(maxScanInterval)) {
		return false
	}
	c.scanPending, c.lastScanAuthority, c.lastScan = false, a, now
	return true
}

// refuseExpired refuses the requests whose deadline has passed.
func (c *Cell) refuseExpired(now time.Time) []Decision {
	var decisions []Decision
	for _, i := range c.queue.RemoveExpired(now) {
		decisions = append(decisions, *c.refuse(i.Value, verdict.ReasonQueueTimeout, "no endpoint became free in time"))
	}
	return decisions
}

// chooseEndpoint returns the endpoint on which a waiting request starts, or nil. A request that needs more room than
// becomes free at once would be overtaken forever, so an endpoint is reserved for it once it is overdue.
func (c *Cell) chooseEndpoint(now time.Time, confirmed bool, i *queue.Item[WaitingRequest]) *endpoint {
	r := &i.Value.Request
	overdue := c.placer.reservation.endpoint == nil &&
		i.Waited(now) >= min(maxReservationDelay, i.Deadline.Sub(i.Value.Since)/2)
	holdsReservation := c.placer.reservation.ticket == i.Ticket
	if !overdue && !holdsReservation && c.placer.hasFailed(r) {
		return nil
	}
	index, ok := c.placer.choose(now, confirmed, &i.Value, c.forecast(r, 0, c.endpoints[0]))
	switch {
	case ok:
		return c.endpoints[index]
	case overdue:
		c.placer.reserve(i.Ticket, c.endpoints)
	}
	return nil
}

// isUnplaceable reports whether the request excludes every endpoint that is not leaving, so that only another cell can
// run it.
func (c *Cell) isUnplaceable(r message.PlaceRequest) bool {
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

// setDataCentreOut closes the data centre to new work or opens it again. Every endpoint is cold after its return.
func (c *Cell) setDataCentreOut(now time.Time, out bool) {
	if c.dataCentreOut && !out {
		for _, e := range c.endpoints {
			if e.state != Unknown && e.state != Leaving {
				e.becomeCold(now, c.params)
			}
		}
	}
	c.dataCentreOut = out
}

// openGrant grants a request on an endpoint.
func (c *Cell) openGrant(now time.Time, e *endpoint, w WaitingRequest) Decision {
	c.lastNumber++
	c.counts.Grants++
	opened := &grant{
		request: w.Request, grantedAt: now, lastReport: now, incarnation: e.load.Incarnation, coldStarts: e.coldStarts,
		probe: e.state == Suspect,
	}
	e.grants[c.lastNumber] = opened
	e.uncountedGrants++
	if w.Request.Alone {
		e.aloneGrants++
	}
	e.addMemory(opened, c.forecast(&opened.request, 0, e))
	e.candidate.Prefill += w.Request.PromptTokens
	c.prefixes.Add(e.candidate.Slot, w.Request.PrefixHashes)
	c.endpointByGrant[c.lastNumber] = e
	// The gateway counts StartWithin from a time before w.Since, so the grant expires at most params.StartWithin from
	// now.
	g := &message.Grant{
		Cell: c.id, Number: c.lastNumber, Fence: c.fence, Endpoint: e.Endpoint,
		StartWithin: now.Sub(w.Since) + c.params.StartWithin, TokenInterval: e.steps.Predict(e.inFlight()),
	}
	return Decision{Ticket: w.Ticket, Reply: message.PlaceReply{Grant: g}}
}
