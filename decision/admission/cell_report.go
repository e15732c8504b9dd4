package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// ApplyReport records the progress or the end of a grant. It ignores reports about grants of other owners.
func (c *Cell) ApplyReport(now time.Time, r message.GrantReport) {
	if r.Fence != c.fence {
		return
	}
	if r.StaleFence {
		c.fenceStale = true
	}
	e := c.endpointByGrant[r.Number]
	if e == nil {
		return
	}
	g := e.grants[r.Number]
	if g == nil {
		delete(c.endpointByGrant, r.Number)
		return
	}
	if r.Leaving {
		e.refusedLeaving = true
		e.updateLeaving(now, c.params)
	}
	g.lastReport = now
	state := e.state
	defer func() { c.scanPending = c.scanPending || r.Event.Ends() || e.state != state }()
	switch r.Event {
	case message.GrantStarted:
		g.recordStart(now)
	case message.GrantProgress:
		g.recordStart(now)
		c.recordProgress(e, g, r.Tokens)
	case message.GrantStalled:
		g.recordStart(now)
		c.recordStall(now, e, g)
	case message.GrantFailed:
		c.recordFailure(now, e, g, r)
	case message.GrantRefused:
		if !r.Leaving {
			e.busyAt = now
		}
		if g.probe && e.state == Suspect {
			e.extendProbeBackoff(now)
		}
		c.closeGrant(now, e, g, r)
	default:
		c.closeGrant(now, e, g, r)
	}
}

// recordStart records the time of the first report.
func (g *grant) recordStart(now time.Time) {
	if g.startedAt.IsZero() {
		g.startedAt = now
	}
}

// recordProgress records the tokens of a grant. New tokens show that the endpoint works.
func (c *Cell) recordProgress(e *endpoint, g *grant, tokens int) {
	if tokens <= g.tokens {
		return
	}
	c.lengths.RecordGrowth(g.request.Workspace, g.tokens, tokens)
	if g.tokens == 0 {
		e.candidate.Prefill -= g.request.PromptTokens
		c.scanPending = true
	}
	g.tokens = tokens
	e.replaceMemory(g, c.forecast(&g.request, tokens, e))
	if g.incarnation == e.load.Incarnation {
		e.clearSuspect(c.params)
	}
}

// recordStall makes the endpoint of a stalled grant suspect. If the grant was a probe, it lengthens the probe back-off.
func (c *Cell) recordStall(now time.Time, e *endpoint, g *grant) {
	if g.probe && e.state == Suspect {
		e.extendProbeBackoff(now)
		return
	}
	e.becomeSuspect(now)
}

// recordFailure handles a failed connection. If the request may have reached the endpoint, its grant stays charged
// until a load report taken after the failure shows that the work has ended.
func (c *Cell) recordFailure(now time.Time, e *endpoint, g *grant, r message.GrantReport) {
	c.recordStall(now, e, g)
	if r.Sent {
		g.failedAt = now
		return
	}
	c.removeGrant(now, e, g, r.Number)
}

// closeGrant closes a grant whose work is certainly not on the endpoint.
func (c *Cell) closeGrant(now time.Time, e *endpoint, g *grant, r message.GrantReport) {
	c.removeGrant(now, e, g, r.Number)
	switch r.Event {
	case message.GrantCompleted:
		e.recordEnd(endedGrant{grantedAt: g.grantedAt, endedAt: now})
		c.recordLength(g, r.Tokens)
		if g.incarnation != e.load.Incarnation {
			return // Work of an ended process does not show the state of the present one.
		}
		e.clearSuspect(c.params)
		// A busy gateway may receive the tokens of a slow endpoint in bursts, so the endpoint's own step time counts too.
		if c.metTokenInterval(r) && e.load.StepTime <= c.params.tokenInterval() && g.coldStarts == e.coldStarts {
			e.creditCompletions(1, c.params)
		}
	case message.GrantCancelled:
		e.recordEnd(endedGrant{grantedAt: g.grantedAt, endedAt: now})
	}
}

// recordLength records the length of an answer. An answer that reached the caller's maximum was cut off, so it is not
// recorded as an ended one.
func (c *Cell) recordLength(g *grant, tokens int) {
	if g.request.Model == "" || tokens == 0 {
		return
	}
	c.lengths.RecordGrowth(g.request.Workspace, g.tokens, tokens)
	if g.request.MaxTokens == 0 || tokens < g.request.MaxTokens {
		c.lengths.RecordEnd(g.request.Workspace, tokens)
	}
}

// removeGrant removes an open grant.
func (c *Cell) removeGrant(now time.Time, e *endpoint, g *grant, number uint64) {
	e.removeGrant(number, g)
	delete(c.endpointByGrant, number)
	if e.delisted {
		c.removeGoneEndpoints(now)
	}
}

// metTokenInterval reports whether the mean interval between the tokens of completed work was short enough. Work with
// fewer than two tokens always passes.
func (c *Cell) metTokenInterval(r message.GrantReport) bool {
	if r.Tokens < 2 {
		return true
	}
	return (r.Elapsed-r.FirstToken)/time.Duration(r.Tokens-1) <= c.params.tokenInterval()
}
