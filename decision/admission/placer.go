package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/placement"
)

// placer chooses endpoints during one scan of the queue. Grants only reduce the free room during a scan, so a prompt
// cannot start if a shorter one of the same shape could not.
type placer struct {
	policy        *placement.Policy
	candidates    []*placement.Candidate
	request       placement.Request
	failedPrompts map[requestShape]int
	// freeEndpoints counts the endpoints that admit at least one request.
	freeEndpoints int
	// stayingEndpoints counts the endpoints that are not leaving.
	stayingEndpoints int
	// nextProbe is when the next probe of a suspect endpoint is due; zero if none is.
	nextProbe time.Time
	// reservation is for a request that others have overtaken for too long.
	reservation reservation
}

func newPlacer(policy *placement.Policy) *placer {
	return &placer{policy: policy, failedPrompts: map[requestShape]int{}}
}

// beginScan refreshes the candidates at the start of a scan.
func (p *placer) beginScan(now time.Time, confirmed bool, endpoints []*endpoint) {
	clear(p.failedPrompts)
	p.candidates, p.freeEndpoints, p.stayingEndpoints, p.nextProbe = p.candidates[:0], 0, 0, time.Time{}
	for _, e := range endpoints {
		e.refreshCandidate(now, confirmed)
		p.candidates = append(p.candidates, &e.candidate)
		if e.state != Leaving {
			p.stayingEndpoints++
		}
		if e.candidate.Admits {
			p.freeEndpoints++
		}
		if e.state == Suspect && now.Before(e.nextProbe) && (p.nextProbe.IsZero() || e.nextProbe.Before(p.nextProbe)) {
			p.nextProbe = e.nextProbe
		}
	}
	if e := p.reservation.endpoint; e != nil {
		e.candidate.Admits = false
	}
}

// updateAfterGrant updates the candidate of an endpoint that received a grant.
func (p *placer) updateAfterGrant(now time.Time, confirmed bool, e *endpoint) {
	e.refreshCandidate(now, confirmed)
	if !e.candidate.Admits {
		p.freeEndpoints--
	}
	if e == p.reservation.endpoint {
		p.reservation = reservation{}
	}
}

// hasFailed reports whether a prompt of the same shape and at most the same length could not start in this scan.
func (p *placer) hasFailed(r *message.PlaceRequest) bool {
	least, ok := p.failedPrompts[requestShapeOf(r)]
	return ok && r.PromptTokens >= least
}

// choose returns the index of the endpoint for a request, or false if no endpoint admits it.
func (p *placer) choose(now time.Time, confirmed bool, w *WaitingRequest, memory placement.Forecast) (int, bool) {
	r := &w.Request
	p.request = placement.Request{
		Model: r.Model, Exclude: r.Exclude, Alone: r.Alone, PrefixHashes: r.PrefixHashes, Memory: memory,
		PromptTokens: r.PromptTokens,
	}
	holdsReservation := p.reservation.endpoint != nil && p.reservation.ticket == w.Ticket
	if holdsReservation {
		p.reservation.endpoint.candidate.Admits = p.reservation.endpoint.admits(now, confirmed)
	}
	i, ok := p.policy.Choose(&p.request, p.candidates)
	if holdsReservation && !ok {
		p.reservation.endpoint.candidate.Admits = false
	}
	if !ok && !r.Alone && len(r.Exclude) == 0 {
		p.failedPrompts[requestShapeOf(r)] = r.PromptTokens
	}
	return i, ok
}

// reserve reserves the endpoint with the fewest requests among those that can run the request once they have room.
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

// releaseReservation drops the reservation if its request no longer waits or its endpoint receives no work.
func (p *placer) releaseReservation(waits func(ticket uint64) bool) {
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
