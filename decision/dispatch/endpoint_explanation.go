package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/placement"
)

// EndpointExplanation says whether a request may use an endpoint, and how the policy rates it.
type EndpointExplanation struct {
	Endpoint fleet.Endpoint
	// Obstacle is empty if the endpoint may be used. Left is the remaining time of a pause or an avoidance.
	Obstacle Obstacle
	Left     time.Duration
	// Candidate holds the figures that the scorers compare. Its capacity is that for this request.
	Candidate placement.Candidate
	Ratings   []placement.Rating
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
	case Paused:
		x.Left = e.statement.pausedUntil.Sub(now)
	case Avoided:
		x.Left = e.avoidUntil.Sub(now)
	case "":
		// The filters for state and exclusion repeat the checks above, so that only the memory remains.
		if !policy.Permits(query, &e.candidate) {
			x.Obstacle = MemoryTaken
		}
	}
	t.setCandidateSpeeds(now, []*endpoint{e})
	x.Candidate, x.Ratings = e.candidate, policy.Ratings(query, &e.candidate)
	return x
}
