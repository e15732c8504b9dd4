package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// ApplyReport takes the progress or the end of a grant into account. Reports of other owners' grants are ignored.
func (c *Cell) ApplyReport(now time.Time, r message.GrantReport) {
	if r.Fence != c.fence {
		return
	}
	if r.StaleFence {
		c.stale = true
	}
	e := c.byGrant[r.Number]
	if e == nil {
		return
	}
	g := e.grants[r.Number]
	if g == nil {
		delete(c.byGrant, r.Number)
		return
	}
	if r.Leaving {
		e.refused = true
		e.updateLeaving(now, c.params)
	}
	g.heard = now
	state := e.state
	defer func() { c.changed = c.changed || r.Event.Ends() || e.state != state }()
	switch r.Event {
	case message.GrantStarted:
		g.start(now)
	case message.GrantProgress:
		g.start(now)
		c.progress(e, g, r.Tokens)
	case message.GrantStalled:
		g.start(now)
		c.late(now, e, g)
	case message.GrantFailed:
		c.failed(now, e, g, r)
	case message.GrantRefused:
		if !r.Leaving {
			e.refusedAt = now
		}
		if g.probe && e.state == Suspect {
			e.probeFailed(now)
		}
		c.end(now, e, g, r)
	default:
		c.end(now, e, g, r)
	}
}

// start notes the first report of a grant.
func (g *grant) start(now time.Time) {
	if g.started.IsZero() {
		g.started = now
	}
}

// progress notes the tokens of a grant; new ones show that its endpoint works.
func (c *Cell) progress(e *endpoint, g *grant, tokens int) {
	if tokens <= g.tokens {
		return
	}
	c.lengths.Grew(g.request.Workspace, g.tokens, tokens)
	if g.tokens == 0 {
		e.candidate.Prefill -= g.request.PromptTokens
		c.changed = true
	}
	g.tokens = tokens
	e.replaceMemory(g, c.forecast(&g.request, tokens, e))
	if g.incarnation == e.load.Incarnation {
		e.sawToken(c.params)
	}
}

// late makes the endpoint of a stalled grant suspect, and a failed probe wait longer.
func (c *Cell) late(now time.Time, e *endpoint, g *grant) {
	if g.probe && e.state == Suspect {
		e.probeFailed(now)
		return
	}
	e.becomeSuspect(now)
}

// failed keeps a grant charged whose request may have reached the endpoint, until a load report taken after the failure
// shows that the work is gone.
func (c *Cell) failed(now time.Time, e *endpoint, g *grant, r message.GrantReport) {
	c.late(now, e, g)
	if r.Sent {
		g.failed = now
		return
	}
	c.remove(now, e, g, r.Number)
}

// end closes a grant whose work is certainly not on the endpoint.
func (c *Cell) end(now time.Time, e *endpoint, g *grant, r message.GrantReport) {
	c.remove(now, e, g, r.Number)
	switch r.Event {
	case message.GrantCompleted:
		e.noteEnd(ended{granted: g.at, ended: now})
		c.learnLength(g, r.Tokens)
		if g.incarnation != e.load.Incarnation {
			return // Work of a process that has ended says nothing about the present one.
		}
		e.sawToken(c.params)
		if c.inTime(r) && g.coldStarts == e.coldStarts {
			e.creditCompleted(1, c.params)
		}
	case message.GrantCancelled:
		e.noteEnd(ended{granted: g.at, ended: now})
	}
}

// learnLength notes how long an answer became. An answer that reached the caller's bound did not end by itself.
func (c *Cell) learnLength(g *grant, tokens int) {
	if g.request.Model == "" || tokens == 0 {
		return
	}
	c.lengths.Grew(g.request.Workspace, g.tokens, tokens)
	if g.request.MaxTokens == 0 || tokens < g.request.MaxTokens {
		c.lengths.Ended(g.request.Workspace, tokens)
	}
}

// remove forgets an open grant.
func (c *Cell) remove(now time.Time, e *endpoint, g *grant, number uint64) {
	e.drop(number, g)
	delete(c.byGrant, number)
	if e.absent {
		c.forgetGone(now)
	}
}

// inTime reports whether completed work had the expected time between tokens. Work without tokens always has.
func (c *Cell) inTime(r message.GrantReport) bool {
	if r.Tokens < 2 {
		return true
	}
	return (r.Elapsed-r.FirstToken)/time.Duration(r.Tokens-1) <= c.params.tokenInterval()
}
