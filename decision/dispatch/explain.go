package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Explain says where a new request would go. It plays the choice on a copy with a random source of its own, so that the later choices
// are the same with and without it.
func (q *Queue) Explain(now time.Time, h HeldRequest, random *rand.Rand) Explanation {
	if !q.table.OrdersAdmission() {
		h.Request.RequireMemoryFit = now.Before(h.WaitUntil)
		x := q.table.explain(now, h.Request, random)
		retryAfter := time.Duration(0)
		if x.Refusal == AllEndpointsPaused {
			retryAfter = q.table.PauseLeft(now, &h.Request)
		}
		x.Waits = x.Refusal != "" && now.Add(retryAfter).Before(h.WaitUntil)
		return x
	}
	played := q.Snapshot(h.Request.Service, random)
	decisions := played.Offer(now, &h)
	// The scan has set the room that the request leaves to others.
	x := q.table.explain(now, h.Request, random)
	x.Waiting = q.Len()
	for _, d := range decisions {
		if d.Held == &h {
			x.Chosen, x.Refusal = d.Placement.Endpoint.ID, d.Refusal
			return x
		}
	}
	x.Chosen, x.Waits = "", true
	if x.Refusal == "" {
		x.Refusal = LeftToOthers
	}
	return x
}

// Snapshot returns a copy of the queue and the table, with the endpoints of one service. It shares no state that changes, so that
// another goroutine can explain choices with it.
func (q *Queue) Snapshot(service string, random *rand.Rand) *Queue {
	c := &Queue{table: q.table.copyFor(service, random), stopping: q.stopping, others: q.others.Clone()}
	for _, h := range q.held {
		held := *h
		c.held = append(c.held, &held)
	}
	return c
}

// explain plays the choice for a request on copies of the table.
func (t *Table) explain(now time.Time, r Request, random *rand.Rand) Explanation {
	c := t.copyFor(r.Service, random)
	x := Explanation{
		Nodes: t.nodes, LoadAge: now.Sub(t.othersUpdatedAt), LoadKnown: !t.othersUpdatedAt.IsZero(),
		OrderedAdmission: t.params.OrderedAdmission, BySpeed: t.choosesBySpeed(r.Service),
		Endpoints: make([]EndpointExplanation, 0, len(c.services[r.Service])),
	}
	for _, e := range c.services[r.Service] {
		x.Endpoints = append(x.Endpoints, c.explainEndpoint(now, &r, e))
	}
	chosen, refusal := c.chooseEndpoint(now, &r)
	x.Refusal = refusal
	if chosen != nil {
		x.Chosen = chosen.ID
	}
	return x
}

// copyFor returns a copy of the table with the endpoints of one service. All state that a placement reads has to be copied here.
func (t *Table) copyFor(service string, random *rand.Rand) *Table {
	c := NewTable(t.nodeStarted, t.params, random)
	c.nodes, c.othersUpdatedAt, c.usage = t.nodes, t.othersUpdatedAt, maps.Clone(t.usage)
	c.speed.stated = maps.Clone(t.speed.stated)
	if usual := t.speed.usual[service]; usual != nil {
		copied := *usual
		c.speed.usual[service] = &copied
	}
	for name, l := range t.limits {
		c.limits[name] = &limits{urgent: l.urgent, rates: l.rates.Clone(), reserve: l.reserve.Clone(), use: l.use}
	}
	if share := t.rollouts[service]; share != nil {
		c.rollouts, c.rolloutStale = map[string]*rolloutShare{service: share.clone()}, t.rolloutStale
	}
	endpoints, statements := make([]endpoint, len(t.services[service])), make([]statement, len(t.services[service]))
	for i, e := range t.services[service] {
		endpoints[i], statements[i] = *e, *e.statement
		endpoints[i].statement, endpoints[i].coldSends = &statements[i], slices.Clone(e.coldSends)
		c.endpoints[e.ID] = &endpoints[i]
		c.services[service] = append(c.services[service], &endpoints[i])
	}
	return c
}
