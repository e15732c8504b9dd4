package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/placement"
)

// shape groups requests that differ only in the length of their prompts.
type shape struct {
	workspace, model string
	maxTokens        int
}

// placer chooses endpoints during one look at the queue. Grants only take room away meanwhile, so that a prompt fails if
// a shorter one of the same shape failed.
type placer struct {
	policy     *placement.Policy
	candidates []*placement.Candidate
	request    placement.Request
	failed     map[shape]int
	// free counts the endpoints that admit at least one request.
	free int
	// staying counts the endpoints that are not leaving.
	staying int
	// probe is when the next probe of a suspect endpoint is due; zero when there is none.
	probe time.Time
	// reservation keeps an endpoint for a request that others overtook for too long.
	reservation reservation
}

// reservation is an endpoint that only one request may use.
type reservation struct {
	endpoint *endpoint
	ticket   uint64
}

func newPlacer(policy *placement.Policy) *placer {
	return &placer{policy: policy, failed: map[shape]int{}}
}

// begin starts a look at the queue.
func (p *placer) begin(now time.Time, confirmed bool, endpoints []*endpoint) {
	clear(p.failed)
	p.candidates, p.free, p.staying, p.probe = p.candidates[:0], 0, 0, time.Time{}
	for _, e := range endpoints {
		e.refresh(now, confirmed)
		p.candidates = append(p.candidates, &e.candidate)
		if e.state != Leaving {
			p.staying++
		}
		if e.candidate.Admits {
			p.free++
		}
		if e.state == Suspect && now.Before(e.nextProbe) && (p.probe.IsZero() || e.nextProbe.Before(p.probe)) {
			p.probe = e.nextProbe
		}
	}
	if e := p.reservation.endpoint; e != nil {
		e.candidate.Admits = false
	}
}

// granted brings the view of an endpoint up to date after a grant.
func (p *placer) granted(now time.Time, confirmed bool, e *endpoint) {
	e.refresh(now, confirmed)
	if !e.candidate.Admits {
		p.free--
	}
	if e == p.reservation.endpoint {
		p.reservation = reservation{}
	}
}

// hasFailed reports whether a request cannot start because a smaller one of its shape could not.
func (p *placer) hasFailed(r *message.PlaceRequest) bool {
	least, ok := p.failed[shapeOf(r)]
	return ok && r.PromptTokens >= least
}

// choose returns the position of the endpoint for a request; its second result is false when there is none.
func (p *placer) choose(now time.Time, confirmed bool, w *Waiting, memory placement.Forecast) (int, bool) {
	r := &w.Request
	p.request = placement.Request{
		Model: r.Model, Exclude: r.Exclude, Alone: r.Alone, PrefixHashes: r.PrefixHashes, Memory: memory,
		PromptTokens: r.PromptTokens,
	}
	mine := p.reservation.endpoint != nil && p.reservation.ticket == w.Ticket
	if mine {
		p.reservation.endpoint.candidate.Admits = p.reservation.endpoint.admits(now, confirmed)
	}
	i, ok := p.policy.Choose(&p.request, p.candidates)
	if mine && !ok {
		p.reservation.endpoint.candidate.Admits = false
	}
	if !ok && !r.Alone && len(r.Exclude) == 0 {
		p.failed[shapeOf(r)] = r.PromptTokens
	}
	return i, ok
}

// reserve keeps the endpoint with the fewest requests for a request that could run there once it has room.
func (p *placer) reserve(ticket uint64, endpoints []*endpoint) {
	filters := []placement.Filter{placement.ExcludeFilter{}, placement.ModelFilter{}}
	var best *endpoint
	for _, e := range endpoints {
		switch e.state {
		case Cold, Warming, Warm:
		default:
			continue
		}
		permitted := !e.candidate.Alone
		for _, f := range filters {
			permitted = permitted && f.Permits(&p.request, &e.candidate)
		}
		if permitted && (best == nil || e.candidate.InFlight < best.candidate.InFlight) {
			best = e
		}
	}
	if best != nil {
		best.candidate.Admits = false
		p.reservation = reservation{endpoint: best, ticket: ticket}
	}
}

// release gives up the reservation if its request or its endpoint can no longer use it.
func (p *placer) release(waits func(ticket uint64) bool) {
	e := p.reservation.endpoint
	if e == nil {
		return
	}
	switch e.state {
	case Cold, Warming, Warm:
		if waits(p.reservation.ticket) {
			return
		}
	}
	p.reservation = reservation{}
}

func shapeOf(r *message.PlaceRequest) shape {
	return shape{workspace: r.Workspace, model: r.Model, maxTokens: r.MaxTokens}
}
