package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/placement"
)

// EndpointExplanation says whether a request may use an endpoint, and how the policy rates it.
type EndpointExplanation struct {
	Endpoint fleet.Endpoint
	// Obstacle is empty if the endpoint may be used. Left is the remaining time of a pause, an avoidance or a refusal
	// because of the endpoint's limit.
	Obstacle Obstacle
	Left     time.Duration
	// InFlight is the number of requests in flight, Limit its maximum, Prefill the number of queued prompt tokens.
	InFlight, Limit, Prefill int
	// Memory is the memory in use in tokens, Capacity the memory that the request may fill; 0 for plain endpoints.
	Memory, Capacity float64
	// Slowdown is the expected slowdown; 0 if endpoints are not chosen by their speed.
	Slowdown float64
	Ratings  []placement.Rating
}

// Score returns the sum of the ratings.
func (e *EndpointExplanation) Score() float64 {
	sum := 0.0
	for _, r := range e.Ratings {
		sum += r.Score
	}
	return sum
}

// explainEndpoint explains one endpoint. The table must be a copy, since the candidate is changed.
func (t *Table) explainEndpoint(now time.Time, r *Request, e *endpoint) EndpointExplanation {
	policy, query := t.policies(r)[0], r.query()
	e.refreshCandidate(now, t.nearDataCentre(r))
	x := EndpointExplanation{Endpoint: e.Endpoint, Obstacle: t.obstacle(now, r, e)}
	switch x.Obstacle {
	case Paused, RateLimited:
		until, _ := e.statement.closedUntil(now)
		x.Left = until.Sub(now)
	case Avoided:
		x.Left = e.avoidUntil.Sub(now)
	case "":
		// The filters for state and exclusion repeat the checks above, so that only the memory remains.
		if !policy.Permits(query, &e.candidate) {
			x.Obstacle = MemoryTaken
		}
	}
	t.setCandidateSpeeds(now, []*endpoint{e})
	c := &e.candidate
	x.InFlight, x.Limit, x.Prefill, x.Memory, x.Capacity, x.Slowdown = c.InFlight, c.Limit, c.Prefill, c.UntrackedMemory, c.Capacity, c.Slowdown
	x.Ratings = policy.Ratings(query, c)
	return x
}
